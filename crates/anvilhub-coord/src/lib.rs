//! Coordination decisions for fan-out query tiers, to embed.
//!
//! Nothing here does I/O or reads a clock: time, randomness and observations are arguments.

pub mod border;
pub mod gather;
pub mod ids;
pub mod keyspace;
pub mod mutation;
pub mod sheet;
pub mod ticket;
pub mod time;
