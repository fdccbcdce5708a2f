use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::admission::{
    AdmissionGate, AdmissionRelease, AdmissionSettings, AdmissionVerdict, RefusalReason,
    RefusedItem,
};
use anvilhub_coord::sheet::{ServiceSpec, UrgencyClass};
use anvilhub_coord::time::ClockTime;
use tokio::sync::oneshot;

use crate::daemon_clock::DaemonClock;
use crate::routes::LockCell;

use super::AdmissionPermit;

/// Why a request was not admitted. Nothing of it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GateRefusal {
    pub(crate) reason: RefusalReason,
    /// Expected wait of a request of the same urgency.
    pub(crate) estimated_wait: Duration,
}

type GateResult = Result<AdmissionPermit, GateRefusal>;

struct GateWaiter {
    urgency: UrgencyClass,
    sender: oneshot::Sender<GateResult>,
}

/// Limits the requests that run at one service, and holds the others in a bounded queue.
pub(crate) struct ServiceGate {
    gate: LockCell<AdmissionGate<GateWaiter>>,
    clock: DaemonClock,
}

impl ServiceGate {
    /// Creates the gate of a service at one of `instance_count` instances, which share the service's slots.
    pub(crate) fn new(spec: &ServiceSpec, instance_count: u32, clock: DaemonClock) -> Arc<Self> {
        // A request over the whole range occupies a slot of every shard, so the smallest shard limits it.
        let slots = spec.shards.iter().map(|shard| shard.slots()).min();
        let settings = AdmissionSettings::for_share(slots.unwrap_or_default(), instance_count);
        Arc::new(Self {
            gate: LockCell::new(AdmissionGate::new(settings)),
            clock,
        })
    }

    /// Waits until the request may run. Dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Fails when the queue does not take the request, or the request is removed from it. Nothing was sent then.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        urgency: UrgencyClass,
        deadline: ClockTime,
    ) -> GateResult {
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let arrival = self
            .gate
            .with(|gate| gate.try_admit(now, urgency, deadline, GateWaiter { urgency, sender }));
        if let Some(shed) = arrival.shed {
            send_refusal(shed);
        }
        match arrival.verdict {
            AdmissionVerdict::Start(_) => return Ok(self.create_permit(urgency, now)),
            AdmissionVerdict::Refused(refusal) => return Err(to_gate_refusal(&refusal)),
            AdmissionVerdict::Queued => {}
        }
        let mut wait = GateWait {
            receiver,
            gate: Arc::clone(self),
        };
        (&mut wait.receiver).await.unwrap_or(Err(GateRefusal {
            reason: RefusalReason::Expired,
            estimated_wait: Duration::ZERO,
        }))
    }

    /// Admits waiting requests up to the limit, and refuses those that have expired.
    pub(crate) fn admit_waiting(self: &Arc<Self>) {
        let now = self.clock.now();
        let release = self.gate.with(|gate| gate.advance(now));
        self.notify_waiters(now, release);
    }

    /// Returns the number of running requests, the number of waiting requests, and the current limit of running ones.
    pub(crate) fn counts(&self) -> (u32, usize, u32) {
        self.gate
            .with(|gate| (gate.running_count(), gate.waiting_count(), gate.limit()))
    }

    /// Records the end of a request, and admits waiting requests in its place.
    pub(super) fn record_end(self: &Arc<Self>, urgency: UrgencyClass, started_at: ClockTime) {
        let now = self.clock.now();
        let release = self
            .gate
            .with(|gate| gate.finish_with_urgency(now, urgency, now.since(started_at)));
        self.notify_waiters(now, release);
    }

    fn create_permit(
        self: &Arc<Self>,
        urgency: UrgencyClass,
        started_at: ClockTime,
    ) -> AdmissionPermit {
        AdmissionPermit::new(Arc::clone(self), urgency, started_at)
    }

    /// Notifies the waiters that were admitted or refused.
    ///
    /// The gate must not be locked: sending to a dropped waiter drops the permit, which ends the request.
    fn notify_waiters(self: &Arc<Self>, now: ClockTime, release: AdmissionRelease<GateWaiter>) {
        release.refused.into_iter().for_each(send_refusal);
        for waiter in release.to_start {
            let permit = self.create_permit(waiter.urgency, now);
            let _ = waiter.sender.send(Ok(permit));
        }
    }
}

fn send_refusal(refusal: RefusedItem<GateWaiter>) {
    let gate_refusal = to_gate_refusal(&refusal);
    // The waiter may have been dropped meanwhile.
    let _ = refusal.item.sender.send(Err(gate_refusal));
}

fn to_gate_refusal(refusal: &RefusedItem<GateWaiter>) -> GateRefusal {
    GateRefusal {
        reason: refusal.reason,
        estimated_wait: refusal.estimated_wait,
    }
}

/// A queued request. Dropping it removes the request from the queue.
struct GateWait {
    receiver: oneshot::Receiver<GateResult>,
    gate: Arc<ServiceGate>,
}

impl Drop for GateWait {
    fn drop(&mut self) {
        self.receiver.close();
        let withdrawn = self
            .gate
            .gate
            .with(|gate| gate.withdraw(|waiter| waiter.sender.is_closed()));
        // Drops the waiter after the lock is released.
        drop(withdrawn);
    }
}
