//! The fault matrix: one module for each guarantee, one test for each fault.
//!
//! A test runs the scenarios of its fault (`tests/fault_scenarios/<fault>.txt`) and judges what callers observe by
//! its guarantee alone.

/// Defines a test for each fault.
macro_rules! cells {
    ($judge:expr; $($fault:ident)*) => {
        $(
            #[test]
            fn $fault() {
                let column = stringify!($fault).trim_end_matches("_at_each_step");
                crate::scenario::judge_column(column, $judge);
            }
        )*
    };
}

pub mod at_most_once;
pub mod config_in_force;
pub mod graceful_stop;
pub mod leaving_upstream;
pub mod one_snapshot;
pub mod own_answer;
pub mod true_coverage;
pub mod true_not_run;
pub mod true_not_run_admission;
