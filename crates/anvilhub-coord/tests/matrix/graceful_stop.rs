//! Guards against a planned stop that breaks off a ticketed request or forgets a ticket before its expiry.
//!
//! The process tests stop a whole instance; here its tickets decide when it may end.

use crate::scenario::{HistoryJudge, RequestWorld};

const JUDGE: HistoryJudge = HistoryJudge {
    request: Some(RequestWorld::breach_of_stop),
    fan_out: None,
    stops: &[0, 2, 4],
};

cells! {
    JUDGE;
    silent_and_planned_stop_at_each_step
    entry_partition_and_late_answer_at_each_step
    upstream_partition_and_paused_at_each_step
}
