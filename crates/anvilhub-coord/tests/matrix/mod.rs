//! The fault matrix: one file a guarantee, one function a fault.

pub mod config_in_force;
//! Guarantees under faults: one file a guarantee, functions named after the faults.

pub mod leaving_upstream;
pub mod true_not_run_admission;
