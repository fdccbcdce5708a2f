use std::time::Duration;

use anvilhub_coord::gateway::EvacuationState;
use anvilhub_coord::time::ClockTime;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::routes::LockCell;

/// What the operator has ordered for a failure domain. All upstreams of the domain share it, so that an order holds for
/// an upstream from the moment at which it is first tracked.
#[derive(Default)]
pub(super) struct DomainState {
    evacuation: LockCell<EvacuationState>,
    /// Wakes attempts that wait for a connection once an order has begun.
    woken: Notify,
}

impl DomainState {
    /// Sets whether the domain is evacuated; returns whether this changed.
    pub(super) fn set_evacuated(&self, now: ClockTime, is_evacuated: bool) -> bool {
        self.evacuation
            .with(|state| state.set_evacuated(now, is_evacuated))
    }

    /// Wakes the attempts that wait for a connection to an upstream of the domain.
    pub(super) fn wake_attempts(&self) {
        self.woken.notify_waiters();
    }

    pub(super) fn is_evacuated(&self) -> bool {
        self.evacuation.with(|state| state.is_evacuated())
    }

    /// Returns for how long this instance has known of the order; `None` while there is none.
    pub(super) fn evacuation_age(&self, now: ClockTime) -> Option<Duration> {
        self.evacuation.with(|state| state.age(now))
    }

    /// Returns the expected time until the order ends; zero while there is none.
    pub(super) fn expected_wait(&self, now: ClockTime) -> Duration {
        self.evacuation.with(|state| state.expected_wait(now))
    }

    /// Returns a future that ends when the attempts are woken after this call.
    pub(super) fn woken(&self) -> Notified<'_> {
        self.woken.notified()
    }
}
