//! Stand-ins for the platform, the upstreams and the network between two processes.

mod http_reply;
pub mod platform;
pub mod proxy;
pub mod upstream;
