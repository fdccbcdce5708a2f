//! The fault matrix: one file a guarantee, one function a fault.

pub mod config_in_force;
