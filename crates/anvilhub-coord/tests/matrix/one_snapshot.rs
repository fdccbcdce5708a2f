//! Guards against an answer with rows of two snapshots.

use crate::scenario::{HistoryJudge, breach_of_snapshot};

const JUDGE: HistoryJudge = HistoryJudge {
    request: None,
    fan_out: Some(breach_of_snapshot),
    stops: &[],
};

cells! {
    JUDGE;
    instance_killed_at_each_step
    repartition_and_snapshot_change_at_each_step
    config_stale_and_killed_at_each_step
    silent_and_planned_stop_at_each_step
    entry_partition_and_late_answer_at_each_step
    straggler_and_snapshot_change_at_each_step
}
