use std::collections::VecDeque;

use anvilhub_coord::time::ClockTime;

/// Identifies an attempt: the query's index, the shard's index and the attempt's number.
pub(crate) type AttemptId = (usize, usize, usize);

/// What an upstream does with an attempt that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiveOutcome {
    Started,
    Queued,
    /// Every connection is in use.
    Rejected,
}

/// An upstream with execution slots, a FIFO queue and a connection limit.
pub(crate) struct FakeUpstream {
    pub(crate) domain: usize,
    slots: usize,
    connections: usize,
    running: Vec<AttemptId>,
    queue: VecDeque<(AttemptId, ClockTime)>,
}

impl FakeUpstream {
    pub(crate) fn new(domain: usize, slots: u32, connections: u32) -> Self {
        Self {
            domain,
            slots: slots as usize,
            connections: connections as usize,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Number of running and queued attempts.
    pub(crate) fn in_flight_count(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    /// Starts or queues an attempt, or rejects it when every connection is in use.
    pub(crate) fn receive_attempt(
        &mut self,
        attempt: AttemptId,
        deadline: ClockTime,
    ) -> ReceiveOutcome {
        if self.in_flight_count() as usize >= self.connections {
            return ReceiveOutcome::Rejected;
        }
        if self.running.len() < self.slots {
            self.running.push(attempt);
            return ReceiveOutcome::Started;
        }
        self.queue.push_back((attempt, deadline));
        ReceiveOutcome::Queued
    }

    /// Ends a running attempt. Returns `false` if the attempt was cancelled earlier.
    pub(crate) fn finish(&mut self, attempt: AttemptId) -> bool {
        let before = self.running.len();
        self.running.retain(|running| *running != attempt);
        before != self.running.len()
    }

    /// Removes an attempt, whether it is running or queued.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        self.finish(attempt);
        self.queue.retain(|(queued, _)| *queued != attempt);
    }

    /// Starts the next queued attempt. Returns it, and the dequeued attempts whose deadline has passed.
    pub(crate) fn start_next(&mut self, now: ClockTime) -> (Option<AttemptId>, Vec<AttemptId>) {
        let mut expired = Vec::new();
        while self.running.len() < self.slots {
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
