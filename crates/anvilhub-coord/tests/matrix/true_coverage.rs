//! Guards against answers that report too high a coverage or do not report a missing range.

use crate::scenario::{HistoryChecker, true_coverage_violation};

const CHECKER: HistoryChecker = HistoryChecker {
    request: None,
    fanout: Some(true_coverage_violation),
    stop_steps: &[],
};

matrix_tests! {
    CHECKER;
    instance_killed_at_each_step
    repartition_and_snapshot_change_at_each_step
    config_stale_and_killed_at_each_step
    silent_and_planned_stop_at_each_step
    entry_partition_and_late_answer_at_each_step
    straggler_and_snapshot_change_at_each_step
}
