//! Time that is kept before a deadline, so that the answer arrives in time.

use std::time::Duration;

use anvilhub_coord::time::ClockTime;

/// Reserve for two one-way trips to a caller 3 ms away, and the time to write the answer.
const CALLER_RESERVE: Duration = Duration::from_millis(8);
/// Reserve for two one-way trips of 1.5 ms to another failure domain.
const HOP_RESERVE: Duration = Duration::from_millis(3);
/// Reserve for the time to write the answers of a batch and to read them. A batch that arrives late loses the
/// answers of all its shards.
const BATCH_RESERVE: Duration = Duration::from_millis(5);
/// A reserve takes at most one fourth of the time until the deadline.
const RESERVE_DIVISOR: u32 = 4;

/// Returns when the answer has to be sent so that it reaches the caller before its deadline.
pub(super) fn answer_deadline(arrived_at: ClockTime, deadline: ClockTime) -> ClockTime {
    deadline - CALLER_RESERVE.min(deadline.since(arrived_at) / RESERVE_DIVISOR)
}

/// Returns when an owner has to answer a batch whose deadline is `time_left` away.
pub(super) fn batch_deadline(now: ClockTime, time_left: Duration) -> ClockTime {
    now + (time_left - BATCH_RESERVE.min(time_left / RESERVE_DIVISOR))
}

/// Returns the time that the receiver of a message has until `deadline`, in whole milliseconds, or `None` when
/// none is left.
pub(super) fn time_left_after_hop(now: ClockTime, deadline: ClockTime) -> Option<u64> {
    let time_left = deadline.since(now);
    let reserve = HOP_RESERVE.min(time_left / RESERVE_DIVISOR);
    match (time_left - reserve).as_millis() {
        0 => None,
        millis => u64::try_from(millis).ok(),
    }
}
