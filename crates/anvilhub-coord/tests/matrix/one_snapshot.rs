//! Guards against an answer with rows of two snapshots.

use crate::scenario::{HistoryChecker, one_snapshot_violation};

const CHECKER: HistoryChecker = HistoryChecker {
    request: None,
    fanout: Some(one_snapshot_violation),
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
