use std::time::Duration;

use anvilhub_coord::time::ClockTime;

/// Two one-way trips to a caller 3 ms away, and the time to write the answer.
const CALLER_COST: Duration = Duration::from_millis(8);
/// Two one-way trips of 1.5 ms to another failure domain.
const HOP_COST: Duration = Duration::from_millis(3);
/// Time to write the answers of a batch and to read them. A batch that comes late loses the answers of all its
/// shards because of one.
const BATCH_COST: Duration = Duration::from_millis(5);
/// Part of a short deadline that costs may use up at most.
const MOST_COST: u32 = 4;

/// When the answer has to go out so that the caller gets it before its deadline.
pub(super) fn answer_time(arrived: ClockTime, deadline: ClockTime) -> ClockTime {
    deadline - CALLER_COST.min(deadline.since(arrived) / MOST_COST)
}

/// When an owner has to answer a batch with `left` until its deadline.
pub(super) fn batch_time(now: ClockTime, left: Duration) -> ClockTime {
    now + (left - BATCH_COST.min(left / MOST_COST))
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
