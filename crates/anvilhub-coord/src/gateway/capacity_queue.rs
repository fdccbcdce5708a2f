use std::time::Duration;

use derive_more::Display;

use super::{CapacityClaim, PriorityLevels, SendWindow, SlotLoad};
use crate::routing::{QueueRank, UrgencyQueue};
use crate::time::ClockTime;

/// Weight of a new observation of the time for which capacity is held; about 5 observations replace the old value.
const HOLD_WEIGHT: f64 = 0.2;
/// Fraction of the usual holding time within which capacity may become free. An attempt is rejected only if it would be
/// late even then, since the usual time rises with a pause of the upstream and falls only with the next answers.
const MIN_HOLD_FRACTION: f64 = 0.5;

/// Order of attempts: priority, then first attempts before hedges and retries.
type CapacityClass = (u32, bool);

/// Identifies a waiting attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityTicket(QueueRank<CapacityClass>);

/// What happens to an attempt that asks for capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CapacityDecision<T> {
    /// The attempt has capacity. Call `release` when it ends.
    Granted(T),
    /// The attempt waits. It is returned by a later `release` or `withdraw`.
    Queued(CapacityTicket),
    /// The attempt cannot be answered before its deadline. Nothing may be sent.
    Rejected(T),
}

/// Why an attempt gets no capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum RejectionReason {
    /// When it arrived, the queue was too long for its deadline.
    #[display("too_late")]
    TooLate,
    /// Its deadline passed while it waited.
    #[display("expired")]
    Expired,
}

/// A waiting attempt that gets capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityGrant<T> {
    /// The attempt.
    pub item: T,
    /// Its claim.
    pub claim: CapacityClaim,
    /// For how long its priority was passed over, if that reached the bound and is why the attempt goes first.
    pub passed_over: Option<Duration>,
}

/// Attempts that leave the queue when capacity becomes free.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityRelease<T> {
    /// Attempts that get capacity.
    pub granted: Vec<CapacityGrant<T>>,
    /// Attempts whose deadline has passed.
    pub expired: Vec<T>,
}

/// A waiting attempt.
#[derive(Clone, Debug)]
struct WaitingAttempt<T> {
    claim: CapacityClaim,
    item: T,
}

/// Grants a fixed number of units of capacity, such as connections to an upstream, by priority and time.
///
/// Designed for urgent requests that compete with bursts of less urgent ones for the same slow upstreams. The highest
/// priority goes first; within a priority, first attempts go before hedges and retries, and then the earliest deadline.
/// Grants to higher priorities delay a priority at most up to its bound; after that it gets the next free unit, and the
/// time is counted anew. So each priority gets at least one unit per bound, and an overload of low priorities does not
/// displace high ones. Claims that are not ranked are granted in the order of arrival.
///
/// Attempts that share the upstream with higher priorities are held back while the upstream has as many requests as it can
/// run, so that they wait where they can be overtaken.
#[derive(Clone, Debug)]
pub struct CapacityQueue<T> {
    capacity: u32,
    busy_count: u32,
    /// Units in use by attempts that share the upstream with higher priorities.
    lower_busy_count: u32,
    window: SendWindow,
    queue: UrgencyQueue<WaitingAttempt<T>, CapacityClass>,
    levels: PriorityLevels,
    /// Usual time for which a unit is held, in microseconds.
    hold_micros: f64,
}

impl<T> CapacityQueue<T> {
    /// Creates a queue for `capacity` units, all of them free, of an upstream with `slots`.
    pub fn new(capacity: u32, slots: u32) -> Self {
        Self {
            capacity,
            busy_count: 0,
            lower_busy_count: 0,
            window: SendWindow::new(capacity, slots),
            queue: UrgencyQueue::new(usize::MAX),
            levels: PriorityLevels::default(),
            hold_micros: 0.0,
        }
    }

    /// Returns the number of units in use.
    pub fn busy_count(&self) -> u32 {
        self.busy_count
    }

    /// Returns the number of waiting attempts.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the highest priority of the waiting attempts; `None` if none waits, or if they are not ranked.
    pub fn waiting_priority(&self) -> Option<u32> {
        self.levels.highest()
    }

    /// Records the load that an answer of the upstream reports.
    pub fn record_load(&mut self, now: ClockTime, load: SlotLoad) {
        self.window.record_load(now, load, self.busy_count);
    }

    /// Takes a unit if one is free and no attempt waits.
    #[must_use]
    pub fn try_take(&mut self) -> bool {
        let is_free = self.busy_count < self.capacity && self.queue.len() == 0;
        if is_free {
            self.busy_count += 1;
        }
        is_free
    }

    /// Takes a unit for an attempt if it may go before all waiting ones.
    #[must_use]
    pub fn try_take_for(&mut self, now: ClockTime, claim: &CapacityClaim) -> bool {
        // While a unit is free, only attempts that are held back wait, which others may overtake.
        let is_first = match claim.has_higher {
            true => {
                let (class, deadline) = sort_key(claim);
                self.queue.count_ahead(class, deadline) == 0
            }
            false => true,
        };
        let is_granted = is_first && self.admits(now, claim);
        if is_granted {
            self.occupy(claim);
        }
        is_granted
    }

    /// Grants a unit to an attempt, queues it or rejects it.
    pub fn offer(&mut self, now: ClockTime, claim: CapacityClaim, item: T) -> CapacityDecision<T> {
        if self.try_take_for(now, &claim) {
            return CapacityDecision::Granted(item);
        }
        let (class, deadline) = sort_key(&claim);
        if claim.is_ranked {
            let ahead_count = self.queue.count_ahead(class, deadline);
            if now + self.min_answer_time(ahead_count) >= claim.deadline {
                return CapacityDecision::Rejected(item);
            }
            self.levels.add(claim.priority, claim.max_passed_over);
        }
        let waiting = WaitingAttempt { claim, item };
        CapacityDecision::Queued(CapacityTicket(self.queue.insert(class, deadline, waiting)))
    }

    /// Frees a unit that was held for `held`, and grants free units to waiting attempts. `has_higher` is that of the claim
    /// for which the unit was taken.
    pub fn release(
        &mut self,
        now: ClockTime,
        held: Duration,
        has_higher: bool,
    ) -> CapacityRelease<T> {
        if has_higher {
            self.lower_busy_count = self.lower_busy_count.saturating_sub(1);
        }
        let micros = held.as_micros() as f64;
        self.hold_micros = match self.hold_micros == 0.0 {
            true => micros,
            false => self.hold_micros + (micros - self.hold_micros) * HOLD_WEIGHT,
        };
        self.busy_count = self.busy_count.saturating_sub(1);
        let mut release = CapacityRelease {
            granted: Vec::new(),
            expired: Vec::new(),
        };
        while self.busy_count < self.capacity {
            let Some((ticket, passed_over)) = self.next(now) else {
                break;
            };
            let Some(waiting) = self.remove(ticket) else {
                break;
            };
            if waiting.claim.deadline <= now {
                release.expired.push(waiting.item);
                continue;
            }
            self.occupy(&waiting.claim);
            if waiting.claim.is_ranked {
                self.levels.record_grant(now, waiting.claim.priority);
            }
            release.granted.push(CapacityGrant {
                item: waiting.item,
                claim: waiting.claim,
                passed_over,
            });
        }
        release
    }

    /// Removes and returns an attempt that waits no longer; `None` if it has left the queue.
    pub fn withdraw(&mut self, ticket: CapacityTicket) -> Option<T> {
        self.remove(ticket).map(|waiting| waiting.item)
    }

    /// Returns the attempt that gets the next free unit, and for how long its priority was passed over if that is why.
    fn next(&self, now: ClockTime) -> Option<(CapacityTicket, Option<Duration>)> {
        let overdue = self.levels.overdue(now).and_then(|(priority, time)| {
            let mut later = self.queue.iter_from((priority, false));
            let (rank, waiting) = later.next()?;
            let is_admitted = self.admits(now, &waiting.claim);
            is_admitted.then_some((CapacityTicket(rank), Some(time)))
        });
        overdue.or_else(|| {
            let mut waiting = self.queue.iter_from((0, false));
            let (rank, _) = waiting.find(|(_, waiting)| self.admits(now, &waiting.claim))?;
            Some((CapacityTicket(rank), None))
        })
    }

    /// Returns whether a unit is free that an attempt with this claim may use.
    fn admits(&self, now: ClockTime, claim: &CapacityClaim) -> bool {
        let is_free = self.busy_count < self.capacity;
        let is_held_back = claim.has_higher
            && !self
                .window
                .admits_lower(now, self.busy_count, self.lower_busy_count);
        is_free && !is_held_back
    }

    fn occupy(&mut self, claim: &CapacityClaim) {
        self.busy_count += 1;
        if claim.has_higher {
            self.lower_busy_count += 1;
        }
    }

    fn remove(&mut self, ticket: CapacityTicket) -> Option<WaitingAttempt<T>> {
        let waiting = self.queue.remove(&ticket.0)?;
        if waiting.claim.is_ranked {
            self.levels.remove(waiting.claim.priority);
        }
        Some(waiting)
    }

    /// Returns the minimum time until an attempt with `ahead_count` others before it has been answered.
    fn min_answer_time(&self, ahead_count: usize) -> Duration {
        let round_count = (ahead_count + 1) as f64 / f64::from(self.capacity.max(1));
        let micros = self.hold_micros * MIN_HOLD_FRACTION * (round_count + 1.0);
        Duration::from_micros(micros as u64)
    }
}

/// Returns the class and the deadline by which a claim is sorted. They are the same for all claims that are not ranked, so
/// that those are granted in the order of arrival.
fn sort_key(claim: &CapacityClaim) -> (CapacityClass, ClockTime) {
    match claim.is_ranked {
        true => ((claim.priority, claim.is_extra), claim.deadline),
        false => ((0, false), ClockTime(0)),
    }
}
