use std::collections::VecDeque;

use anvilhub_coord::time::ClockTime;

/// Identifies an attempt: the query's index, the shard's index and the attempt's number.
pub(crate) type AttemptId = (usize, usize, usize);

/// What an upstream does with an attempt that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiveOutcome {
    /// The attempt runs.
    Started,
    /// The attempt waits for a slot.
    Queued,
    /// Every connection is in use.
    Rejected,
}

/// An upstream with execution slots, a FIFO queue and a connection limit.
pub(crate) struct FakeUpstream {
    pub(crate) domain: usize,
    slot_count: usize,
    max_connections: usize,
    running: Vec<AttemptId>,
    /// Waiting attempts with their deadlines.
    queue: VecDeque<(AttemptId, ClockTime)>,
}

impl FakeUpstream {
    pub(crate) fn new(domain: usize, slot_count: u32, max_connections: u32) -> Self {
        Self {
            domain,
            slot_count: slot_count as usize,
            max_connections: max_connections as usize,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Returns the number of running and queued attempts.
    pub(crate) fn in_flight_count(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    /// Starts or queues an attempt, or rejects it when every connection is in use.
    pub(crate) fn receive_attempt(
        &mut self,
        attempt: AttemptId,
        deadline: ClockTime,
    ) -> ReceiveOutcome {
        if self.in_flight_count() as usize >= self.max_connections {
            return ReceiveOutcome::Rejected;
        }
        if self.running.len() < self.slot_count {
            self.running.push(attempt);
            return ReceiveOutcome::Started;
        }
        self.queue.push_back((attempt, deadline));
        ReceiveOutcome::Queued
    }

    /// Ends a running attempt. Returns `false` if the attempt was cancelled earlier.
    pub(crate) fn finish_attempt(&mut self, attempt: AttemptId) -> bool {
        let count_before = self.running.len();
        self.running.retain(|running| *running != attempt);
        count_before != self.running.len()
    }

    /// Removes an attempt, whether it is running or queued.
    pub(crate) fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.finish_attempt(attempt);
        self.queue.retain(|(queued, _)| *queued != attempt);
    }

    /// Starts the next queued attempt. Returns it, and the dequeued attempts whose deadline has passed.
    pub(crate) fn start_next(&mut self, now: ClockTime) -> (Option<AttemptId>, Vec<AttemptId>) {
        let mut expired = Vec::new();
        while self.running.len() < self.slot_count {
            let Some((attempt, deadline)) = self.queue.pop_front() else {
                break;
            };
            if deadline <= now {
                expired.push(attempt);
                continue;
            }
            self.running.push(attempt);
            return (Some(attempt), expired);
        }
        (None, expired)
    }
}
