//! Guards against `not_run` for a request that took effect or takes effect later.

use crate::scenario::{HistoryJudge, RequestWorld};

const JUDGE: HistoryJudge = HistoryJudge {
    request: Some(RequestWorld::breach_of_not_run),
    fan_out: None,
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
}
