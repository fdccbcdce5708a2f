//! Guards against rows of another request, duplicate rows, and a wrong answer to a resent request.

use crate::scenario::{HistoryChecker, RequestSimulation, own_answer_violation};

const CHECKER: HistoryChecker = HistoryChecker {
    request: Some(RequestSimulation::own_answer_violation),
    fanout: Some(own_answer_violation),
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
    repartition_and_snapshot_change_at_each_step
    straggler_and_snapshot_change_at_each_step
}
