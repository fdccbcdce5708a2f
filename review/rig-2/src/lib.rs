//! Stand-ins of the users' platform for the cases of the second review: the store, replicas, and the start of instances.
//! Standard library only.

pub mod fleet;
pub mod http;
pub mod instance;
pub mod record;
pub mod replica;
pub mod store;
pub mod sys;
