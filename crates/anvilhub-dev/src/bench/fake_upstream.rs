use std::collections::VecDeque;

use anvilhub_coord::time::ClockTime;

/// One attempt: query, shard and number of the attempt.
pub(crate) type AttemptId = (usize, usize, usize);

/// What an upstream does with an arriving attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admitted {
    Runs,
    Waits,
    /// Every connection is in use.
    Refused,
}

/// An upstream with slots, a first-in first-out queue and a connection limit.
pub(crate) struct FakeUpstream {
    pub(crate) domain: usize,
    slots: usize,
    connections: usize,
    running: Vec<AttemptId>,
    waiting: VecDeque<(AttemptId, ClockTime)>,
}

impl FakeUpstream {
    pub(crate) fn new(domain: usize, slots: u32, connections: u32) -> Self {
        Self {
            domain,
            slots: slots as usize,
            connections: connections as usize,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    pub(crate) fn held(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    pub(crate) fn receive(&mut self, attempt: AttemptId, deadline: ClockTime) -> Admitted {
        if self.held() as usize >= self.connections {
            return Admitted::Refused;
        }
        if self.running.len() < self.slots {
            self.running.push(attempt);
            return Admitted::Runs;
        }
        self.waiting.push_back((attempt, deadline));
        Admitted::Waits
    }

    /// Ends a running attempt; false when it was cancelled before.
    pub(crate) fn finish(&mut self, attempt: AttemptId) -> bool {
        let before = self.running.len();
        self.running.retain(|running| *running != attempt);
        before != self.running.len()
    }

    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        self.finish(attempt);
        self.waiting.retain(|(waiting, _)| *waiting != attempt);
    }

    /// The next waiting attempt that starts now, and those whose deadline has passed.
    pub(crate) fn start_next(&mut self, now: ClockTime) -> (Option<AttemptId>, Vec<AttemptId>) {
        let mut expired = Vec::new();
        while self.running.len() < self.slots {
            let Some((attempt, deadline)) = self.waiting.pop_front() else {
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
