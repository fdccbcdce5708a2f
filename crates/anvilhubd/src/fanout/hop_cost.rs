use std::time::Duration;

use anvilhub_coord::time::ClockTime;

/// Two one-way trips to a caller 3 ms away, and the time to write the answer.
const CALLER_COST: Duration = Duration::from_millis(8);
/// Two one-way trips of 1.5 ms to another failure domain.
const HOP_COST: Duration = Duration::from_millis(3);
/// Part of a short deadline that costs may use up at most.
const MOST_COST: u32 = 4;

/// When the answer has to go out so that the caller gets it before its deadline.
pub(super) fn answer_time(arrived: ClockTime, deadline: ClockTime) -> ClockTime {
    deadline - CALLER_COST.min(deadline.since(arrived) / MOST_COST)
}

/// Time that the receiver of a message has left, in whole milliseconds; `None` when there is none.
pub(super) fn after_hop(now: ClockTime, deadline: ClockTime) -> Option<u64> {
    let left = deadline.since(now);
    let cost = HOP_COST.min(left / MOST_COST);
    match (left - cost).as_millis() {
        0 => None,
        millis => u64::try_from(millis).ok(),
    }
}
