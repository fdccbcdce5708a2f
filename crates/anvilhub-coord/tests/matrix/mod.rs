//! The fault matrix: one module for each guarantee, one test for each fault.
//!
//! A test runs the scenarios of its fault (`tests/fault_scenarios/<fault>.txt`) and checks only its own guarantee.

/// Defines a test for each fault that every guarantee is tested with, and for each `$extra_fault`.
macro_rules! matrix_tests {
    ($checker:ident; $($extra_fault:ident)*) => {
        matrix_tests! {
            @each $checker;
            straggler_shard_at_each_step
            replica_lost_at_each_step
            repartition_at_each_step
            config_down_at_each_step
            config_stale_at_each_step
            process_paused_at_each_step
            entry_partition_at_each_step
            upstream_partition_at_each_step
            silent_connection_at_each_step
            planned_stop_at_each_step
            snapshot_change_at_each_step
            late_answer_at_each_step
            lagging_list_at_each_step
            misleading_load_at_each_step
            $($extra_fault)*
        }
    };
    (@each $checker:ident; $($fault:ident)*) => {
        $(
            #[test]
            fn $fault() {
                let fault = stringify!($fault).trim_end_matches("_at_each_step");
                crate::scenario::check_fault(fault, $checker);
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
