//! Guards against a planned stop that interrupts a ticketed request or loses a ticket before its expiry.
//!
//! The process tests stop a whole instance. Here the instance ends as soon as no ticket and no request is left.

use crate::scenario::{HistoryChecker, RequestSimulation};

const CHECKER: HistoryChecker = HistoryChecker {
    request: Some(RequestSimulation::graceful_stop_violation),
    fanout: None,
    stop_steps: &[0, 2, 4],
};

matrix_tests! {
    CHECKER;
    silent_and_planned_stop_at_each_step
    entry_partition_and_late_answer_at_each_step
    upstream_partition_and_paused_at_each_step
}
