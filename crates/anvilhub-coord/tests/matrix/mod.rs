//! Guarantees under faults: one file a guarantee, functions named after the faults.

pub mod leaving_upstream;
pub mod true_not_run_admission;
