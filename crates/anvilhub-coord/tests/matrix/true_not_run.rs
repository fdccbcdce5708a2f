//! Guards against the outcome `not_run` for a request that was executed or is executed later.

use crate::scenario::{HistoryChecker, RequestSimulation};

const CHECKER: HistoryChecker = HistoryChecker {
    request: Some(RequestSimulation::true_not_run_violation),
    fanout: None,
    stop_steps: &[],
};

matrix_tests! {
    CHECKER;
    instance_killed_at_each_step
    paused_and_killed_at_each_step
    config_stale_and_killed_at_each_step
    silent_and_planned_stop_at_each_step
    entry_partition_and_late_answer_at_each_step
    upstream_partition_and_paused_at_each_step
}
