//! Coordination decisions of a fan-out query tier, as an embeddable library.
//!
//! Nothing in this crate performs I/O or reads a clock: time, randomness and observations are arguments.

pub mod admission;
pub mod border;
pub mod configuration;
pub mod connection;
pub mod crash;
pub mod fleet;
pub mod gateway;
pub mod gather;
pub mod ids;
pub mod keyspace;
pub mod limit;
pub mod membership;
pub mod memory;
pub mod mutation;
pub mod routing;
pub mod sheet;
pub mod ticket;
pub mod time;
