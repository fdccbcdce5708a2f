use std::time::Duration;

use derive_more::Display;

use crate::ids::SlotCount;
use crate::routing::{DroppedItem, URGENCY_CLASSES, UrgencyQueue};
use crate::sheet::UrgencyClass;
use crate::time::ClockTime;

use super::{AdaptiveLimit, WaitEstimate};

/// Capacity and limits of an `AdmissionGate`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Maximum number of waiting requests.
    pub queue_capacity: usize,
    /// Initial concurrency limit.
    pub initial_limit: u32,
    /// Minimum concurrency limit. Keeps goodput above zero and lets the limit recover.
    pub min_limit: u32,
    /// Maximum concurrency limit.
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

/// Number of requests that may always run per slot of this instance's share: one uses the slot while the next one is
/// on the network.
const MIN_REQUESTS_PER_SLOT: u32 = 2;

impl AdmissionSettings {
    /// Creates the settings for one of `instance_count` instances and a service whose smallest shard has `slots`.
    ///
    /// The limit never falls below the instance's share of the slots. Delays also grow while other instances or
    /// more urgent requests use the slots, and a lower limit would then leave slots idle.
    pub fn for_share(slots: SlotCount, instance_count: u32) -> Self {
        let min_limit = (slots.get() * MIN_REQUESTS_PER_SLOT)
            .div_ceil(instance_count.max(1))
            .max(2);
        Self {
            initial_limit: min_limit,
            min_limit,
            ..Self::default()
        }
    }
}

/// Why admission control refused a caller's request as `not_run`. The reason for which an upstream refuses a
/// sub-request is a [`border::upstream::RefusalReason`](crate::border::upstream::RefusalReason).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// The estimated wait and the typical service time exceed the time until the deadline.
    #[display("too_late")]
    TooLate,
    /// The request waited until too little time was left for a request of its urgency.
    #[display("expired")]
    Expired,
    /// The queue is full of requests that are at least as urgent.
    #[display("queue_full")]
    QueueFull,
    /// A more urgent request displaced the request from the full queue.
    #[display("shed")]
    Shed,
}

/// A refused request. It was never started, so `not_run` is the correct answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedItem<T> {
    /// The request.
    pub item: T,
    /// Why it is refused.
    pub reason: RefusalReason,
    /// Estimated wait in the queue, which the remedy in the answer states.
    pub estimated_wait: Duration,
}

/// What happens to an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict<T> {
    /// Run the request now and call `finish` or `finish_with_urgency` when it ends.
    Start(T),
    /// The request was queued. It is returned by a later `finish`, `finish_with_urgency`, `advance` or `withdraw`,
    /// or as shed by `try_admit`.
    Queued,
    /// Answer the request with `not_run`.
    Refused(RefusedItem<T>),
}

/// Verdict on an arriving request and the request that it displaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionDecision<T> {
    /// What happens to the arriving request.
    pub verdict: AdmissionVerdict<T>,
    /// A less urgent request that was displaced from the queue: answer it with `not_run`.
    pub shed: Option<RefusedItem<T>>,
}

/// Requests that leave the queue after a request finished or time passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRelease<T> {
    /// Requests to run now.
    pub to_start: Vec<T>,
    /// Requests to answer with `not_run`.
    pub refused: Vec<RefusedItem<T>>,
}

/// Admission control of one service in one instance: a concurrency limit and a bounded queue.
///
/// The gate takes ownership of each item and returns it once, so a refused item cannot also be started.
#[derive(Clone, Debug)]
pub struct AdmissionGate<T> {
    limit: AdaptiveLimit,
    wait_estimate: WaitEstimate,
    running_count: u32,
    queue: UrgencyQueue<T>,
}

impl<T> AdmissionGate<T> {
    /// Creates a gate without requests.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            limit: AdaptiveLimit::new(
                settings.initial_limit,
                settings.min_limit,
                settings.max_limit,
            ),
            wait_estimate: WaitEstimate::default(),
            running_count: 0,
            queue: UrgencyQueue::new(settings.queue_capacity),
        }
    }

    /// Returns the number of running requests.
    pub fn running_count(&self) -> u32 {
        self.running_count
    }

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Returns the typical time between admission and answer of a request of `urgency`.
    pub fn typical_service_time(&self, urgency: UrgencyClass) -> Duration {
        self.wait_estimate.typical_service_time(urgency)
    }

    /// Decides whether a request that arrives at `now` is started, queued or refused.
    pub fn try_admit(
        &mut self,
        now: ClockTime,
        urgency: UrgencyClass,
        deadline: ClockTime,
        item: T,
    ) -> AdmissionDecision<T> {
        let can_start = self.running_count < self.limit.get() && self.queue.len() == 0;
        let estimated_wait = match can_start {
            true => Duration::ZERO,
            false => {
                let ahead_count = self.queue.count_ahead(urgency, deadline);
                self.wait_estimate
                    .expected_wait(ahead_count, self.limit.get())
            }
        };
        // Only finished requests change the estimate. While no request is running, one is admitted whatever the
        // estimate says: otherwise a high estimate after a slow period would refuse every request forever.
        let expected_time = match self.running_count {
            0 => Duration::ZERO,
            _ => estimated_wait + self.wait_estimate.typical_service_time(urgency),
        };
        if now + expected_time >= deadline {
            return AdmissionDecision {
                verdict: AdmissionVerdict::Refused(RefusedItem {
                    item,
                    reason: RefusalReason::TooLate,
                    estimated_wait,
                }),
                shed: None,
            };
        }
        if can_start {
            self.running_count += 1;
            return AdmissionDecision {
                verdict: AdmissionVerdict::Start(item),
                shed: None,
            };
        }
        self.limit.mark_contended();
        self.enqueue(urgency, deadline, item, estimated_wait)
    }

    /// Records the end of a running request and returns the waiting ones that leave the queue.
    ///
    /// `service_time` is the time from the start of the request to its end, also if it ended without an answer. It is
    /// recorded for every urgency class; use `finish_with_urgency` if the class is known.
    pub fn finish(&mut self, now: ClockTime, service_time: Duration) -> AdmissionRelease<T> {
        for urgency in URGENCY_CLASSES {
            self.wait_estimate.record(urgency, service_time);
        }
        self.end_request(now, service_time)
    }

    /// Records the end of a running request of `urgency`, as `finish` does.
    pub fn finish_with_urgency(
        &mut self,
        now: ClockTime,
        urgency: UrgencyClass,
        service_time: Duration,
    ) -> AdmissionRelease<T> {
        self.wait_estimate.record(urgency, service_time);
        self.end_request(now, service_time)
    }

    fn end_request(&mut self, now: ClockTime, service_time: Duration) -> AdmissionRelease<T> {
        self.running_count = self.running_count.saturating_sub(1);
        self.limit.record(now, service_time);
        self.advance(now)
    }

    /// Starts and refuses waiting requests as of `now`. Call this a few times per second even if no request
    /// finishes.
    pub fn advance(&mut self, now: ClockTime) -> AdmissionRelease<T> {
        let estimate = self.wait_estimate;
        let refused = self
            .queue
            .remove_expired(|urgency| now + estimate.conservative_service_time(urgency))
            .into_iter()
            .map(|item| RefusedItem {
                item,
                reason: RefusalReason::Expired,
                estimated_wait: estimate.expected_wait(0, self.limit.get()),
            })
            .collect();
        let mut to_start = Vec::new();
        while self.running_count < self.limit.get() {
            let Some((item, _)) = self.queue.pop() else {
                break;
            };
            self.running_count += 1;
            to_start.push(item);
        }
        AdmissionRelease { to_start, refused }
    }

    /// Removes and returns the waiting requests that match, such as those whose caller disconnected.
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
            Some((item, DroppedItem::Waiting)) => AdmissionDecision {
                verdict: AdmissionVerdict::Queued,
                shed: Some(RefusedItem {
                    item,
                    reason: RefusalReason::Shed,
                    estimated_wait,
                }),
            },
            Some((item, DroppedItem::Arrival)) => AdmissionDecision {
                verdict: AdmissionVerdict::Refused(RefusedItem {
                    item,
                    reason: RefusalReason::QueueFull,
                    estimated_wait,
                }),
                shed: None,
            },
        }
    }
}
