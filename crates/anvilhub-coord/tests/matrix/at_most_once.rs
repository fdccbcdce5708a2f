//! Guards against a non-idempotent request that is executed twice.

use crate::scenario::{HistoryChecker, RequestSimulation};

const CHECKER: HistoryChecker = HistoryChecker {
    request: Some(RequestSimulation::at_most_once_violation),
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
