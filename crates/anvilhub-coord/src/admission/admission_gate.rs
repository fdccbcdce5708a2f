use std::time::Duration;

use derive_more::Display;

use crate::ids::SlotCount;
use crate::routing::{Displaced, URGENCY_CLASSES, UrgencyQueue};
use crate::sheet::UrgencyClass;
use crate::time::ClockTime;

use super::{AdaptiveLimit, WaitEstimate};

/// Sizes of an `AdmissionGate`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Requests that may wait.
    pub queue_capacity: usize,
    /// Requests that run at once at the start: this instance's share of the slots.
    pub initial_limit: u32,
    /// Lowest limit; keeps goodput above zero and lets the limit recover.
    pub min_limit: u32,
    /// Highest limit.
    pub max_limit: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_capacity: 256,
            initial_limit: 4,
            min_limit: 2,
            max_limit: 256,
        }
    }
}

/// Requests per slot of this instance's share that always may run: one uses the slot while the next one is
/// on its way.
const LEAST_PER_SLOT: u32 = 2;

impl AdmissionSettings {
    /// Settings of one of `entries` instances for a service whose smallest shard has `slots`.
    ///
    /// The limit never falls below the share of the slots, since delays also grow when other instances or more
    /// urgent requests use them, and slots would idle.
    pub fn for_share(slots: SlotCount, entries: u32) -> Self {
        let share = (slots.get() * LEAST_PER_SLOT)
            .div_ceil(entries.max(1))
            .max(2);
        Self {
            initial_limit: share,
            min_limit: share,
            ..Self::default()
        }
    }
}

/// Why a request was refused as `not_run`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// Estimated wait and usual service time exceed the remaining time.
    #[display("too_late")]
    TooLate,
    /// The request waited until its remaining time was below what requests of its urgency need.
    #[display("expired")]
    Expired,
    /// The queue is full of requests that are at least as urgent.
    #[display("queue_full")]
    QueueFull,
    /// A more urgent request took its place in the queue.
    #[display("shed")]
    Shed,
}

/// A request that was never started and is handed back: answering `not_run` is true.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal<T> {
    /// The request.
    pub item: T,
    /// Why it is refused.
    pub reason: RefusalReason,
    /// Wait that was expected, for the answer's remedy.
    pub estimated_wait: Duration,
}

/// What happens to an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict<T> {
    /// Run it now and call `finish` at its end.
    Start(T),
    /// It waits and leaves by `finish`, `advance`, `withdraw` or as shed by a later arrival.
    Queued,
    /// Answer `not_run`.
    Refused(Refusal<T>),
}

/// Verdict on an arrival and the request it displaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionDecision<T> {
    /// What happens to the arriving request.
    pub verdict: AdmissionVerdict<T>,
    /// A less urgent request that lost its place: answer `not_run`.
    pub shed: Option<Refusal<T>>,
}

/// Requests that leave the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRelease<T> {
    /// Run these now.
    pub start: Vec<T>,
    /// Answer `not_run` to these.
    pub refused: Vec<Refusal<T>>,
}

/// The bounded queue of one service in one instance.
///
/// Items move in once and out once, so a refused item cannot also be started.
#[derive(Clone, Debug)]
pub struct AdmissionGate<T> {
    limit: AdaptiveLimit,
    wait: WaitEstimate,
    running: u32,
    queue: UrgencyQueue<T>,
}

impl<T> AdmissionGate<T> {
    /// An empty gate.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            limit: AdaptiveLimit::new(
                settings.initial_limit,
                settings.min_limit,
                settings.max_limit,
            ),
            wait: WaitEstimate::default(),
            running: 0,
            queue: UrgencyQueue::new(settings.queue_capacity),
        }
    }

    /// Requests that run.
    pub fn running_count(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Present concurrency limit.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Usual time between admission and answer of a request of `urgency`.
    pub fn typical_service_time(&self, urgency: UrgencyClass) -> Duration {
        self.wait.typical_service_time(urgency)
    }

    /// Decides on a request that arrives at `now`.
    pub fn try_admit(
        &mut self,
        now: ClockTime,
        urgency: UrgencyClass,
        deadline: ClockTime,
        item: T,
    ) -> AdmissionDecision<T> {
        let free = self.running < self.limit.get() && self.queue.len() == 0;
        let estimated_wait = match free {
            true => Duration::ZERO,
            false => {
                let ahead = self.queue.ahead_of(urgency, deadline);
                self.wait.expected_wait(ahead, self.limit.get())
            }
        };
        // Only finished requests change the estimate, so while none runs one is let in whatever it says:
        // otherwise it would refuse forever after a slow time.
        let expected = match self.running {
            0 => Duration::ZERO,
            _ => estimated_wait + self.wait.typical_service_time(urgency),
        };
        if now + expected >= deadline {
            return AdmissionDecision {
                verdict: AdmissionVerdict::Refused(Refusal {
                    item,
                    reason: RefusalReason::TooLate,
                    estimated_wait,
                }),
                shed: None,
            };
        }
        if free {
            self.running += 1;
            return AdmissionDecision {
                verdict: AdmissionVerdict::Start(item),
                shed: None,
            };
        }
        self.limit.mark_contended();
        self.enqueue(urgency, deadline, item, estimated_wait)
    }

    /// Counts the end of a request that was started and hands out waiting ones.
    ///
    /// `service_time` is the time since its start, also when it ended without an answer. It counts for every
    /// urgency class; use `finish_as` where the class is known.
    pub fn finish(&mut self, now: ClockTime, service_time: Duration) -> AdmissionRelease<T> {
        for urgency in URGENCY_CLASSES {
            self.wait.record(urgency, service_time);
        }
        self.end(now, service_time)
    }

    /// Counts the end of a request of `urgency`, as `finish` does.
    pub fn finish_with_urgency(
        &mut self,
        now: ClockTime,
        urgency: UrgencyClass,
        service_time: Duration,
    ) -> AdmissionRelease<T> {
        self.wait.record(urgency, service_time);
        self.end(now, service_time)
    }

    fn end(&mut self, now: ClockTime, service_time: Duration) -> AdmissionRelease<T> {
        self.running = self.running.saturating_sub(1);
        self.limit.record(now, service_time);
        self.advance(now)
    }

    /// Hands out what `now` allows. Call it a few times per second even when nothing finishes.
    pub fn advance(&mut self, now: ClockTime) -> AdmissionRelease<T> {
        let wait = self.wait;
        let refused = self
            .queue
            .expire(|urgency| now + wait.conservative_service_time(urgency))
            .into_iter()
            .map(|item| Refusal {
                item,
                reason: RefusalReason::Expired,
                estimated_wait: wait.expected_wait(0, self.limit.get()),
            })
            .collect();
        let mut start = Vec::new();
        while self.running < self.limit.get() {
            let Some((item, _)) = self.queue.pop() else {
                break;
            };
            self.running += 1;
            start.push(item);
        }
        AdmissionRelease { start, refused }
    }

    /// Removes waiting requests, such as those whose caller disconnected.
    pub fn withdraw(&mut self, matches: impl FnMut(&T) -> bool) -> Vec<T> {
        self.queue.withdraw(matches)
    }

    fn enqueue(
        &mut self,
        urgency: UrgencyClass,
        deadline: ClockTime,
        item: T,
        estimated_wait: Duration,
    ) -> AdmissionDecision<T> {
        match self.queue.push(urgency, deadline, item) {
            None => AdmissionDecision {
                verdict: AdmissionVerdict::Queued,
                shed: None,
            },
            Some((item, Displaced::Waiting)) => AdmissionDecision {
                verdict: AdmissionVerdict::Queued,
                shed: Some(Refusal {
                    item,
                    reason: RefusalReason::Shed,
                    estimated_wait,
                }),
            },
            Some((item, Displaced::Arrival)) => AdmissionDecision {
                verdict: AdmissionVerdict::Refused(Refusal {
                    item,
                    reason: RefusalReason::QueueFull,
                    estimated_wait,
                }),
                shed: None,
            },
        }
    }
}
