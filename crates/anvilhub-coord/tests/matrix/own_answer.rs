//! Guards against another request's rows, rows that came twice, and a resend's wrong answer.

use crate::scenario::{HistoryJudge, RequestWorld, breach_of_own};

const JUDGE: HistoryJudge = HistoryJudge {
    request: Some(RequestWorld::breach_of_own),
    fan_out: Some(breach_of_own),
    stops: &[],
};

cells! {
    JUDGE;
    instance_killed_at_each_step
    paused_and_killed_at_each_step
    config_stale_and_killed_at_each_step
    silent_and_planned_stop_at_each_step
    entry_partition_and_late_answer_at_each_step
    upstream_partition_and_paused_at_each_step
    repartition_and_snapshot_change_at_each_step
    straggler_and_snapshot_change_at_each_step
}
