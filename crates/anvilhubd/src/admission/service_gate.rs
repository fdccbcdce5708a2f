use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::admission::{
    AdmissionGate, AdmissionRelease, AdmissionSettings, AdmissionVerdict, Refusal, RefusalReason,
};
use anvilhub_coord::sheet::{ServiceSpec, UrgencyClass};
use anvilhub_coord::time::ClockTime;
use tokio::sync::oneshot;

use crate::clock::DaemonClock;
use crate::routes::RouteCell;

use super::AdmissionPermit;

/// Why a request was not admitted; nothing of it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GateRefusal {
    pub(crate) reason: RefusalReason,
    /// Wait that a request of its kind has to expect.
    pub(crate) estimated_wait: Duration,
}

type GateAnswer = Result<AdmissionPermit, GateRefusal>;

struct GateWaiter {
    urgency: UrgencyClass,
    sender: oneshot::Sender<GateAnswer>,
}

/// The bounded queue in front of one service.
pub(crate) struct ServiceGate {
    gate: RouteCell<AdmissionGate<GateWaiter>>,
    clock: DaemonClock,
}

impl ServiceGate {
    /// The gate of one of `entries` instances.
    pub(crate) fn new(spec: &ServiceSpec, entries: u32, clock: DaemonClock) -> Arc<Self> {
        // A request over the whole range occupies a slot of every shard, so the smallest shard limits it.
        let slots = spec.shards.iter().map(|shard| shard.slots()).min();
        let settings = AdmissionSettings::for_share(slots.unwrap_or_default(), entries);
        Arc::new(Self {
            gate: RouteCell::new(AdmissionGate::new(settings)),
            clock,
        })
    }

    /// Waits until the request may run. A dropped wait is withdrawn.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        urgency: UrgencyClass,
        deadline: ClockTime,
    ) -> GateAnswer {
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let arrival = self
            .gate
            .with(|gate| gate.try_admit(now, urgency, deadline, GateWaiter { urgency, sender }));
        if let Some(shed) = arrival.shed {
            refuse(shed);
        }
        match arrival.verdict {
            AdmissionVerdict::Start(_) => return Ok(self.permit(urgency, now)),
            AdmissionVerdict::Refused(refusal) => return Err(reason_of(&refusal)),
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

    /// Hands out what the present time allows.
    pub(crate) fn advance(self: &Arc<Self>) {
        let now = self.clock.now();
        let release = self.gate.with(|gate| gate.advance(now));
        self.hand_out(now, release);
    }

    /// Requests that run, those that wait, and the present limit.
    pub(crate) fn lengths(&self) -> (u32, usize, u32) {
        self.gate
            .with(|gate| (gate.running_count(), gate.waiting_count(), gate.limit()))
    }

    pub(super) fn finish(self: &Arc<Self>, urgency: UrgencyClass, started: ClockTime) {
        let now = self.clock.now();
        let release = self
            .gate
            .with(|gate| gate.finish_with_urgency(now, urgency, now.since(started)));
        self.hand_out(now, release);
    }

    fn permit(self: &Arc<Self>, urgency: UrgencyClass, started: ClockTime) -> AdmissionPermit {
        AdmissionPermit::new(Arc::clone(self), urgency, started)
    }

    /// Runs without the lock: a waiter that is gone drops its permit, which ends the request.
    fn hand_out(self: &Arc<Self>, now: ClockTime, release: AdmissionRelease<GateWaiter>) {
        release.refused.into_iter().for_each(refuse);
        for waiter in release.start {
            let permit = self.permit(waiter.urgency, now);
            let _ = waiter.sender.send(Ok(permit));
        }
    }
}

fn refuse(refusal: Refusal<GateWaiter>) {
    let reason = reason_of(&refusal);
    // The waiter may be gone already.
    let _ = refusal.item.sender.send(Err(reason));
}

fn reason_of(refusal: &Refusal<GateWaiter>) -> GateRefusal {
    GateRefusal {
        reason: refusal.reason,
        estimated_wait: refusal.estimated_wait,
    }
}

struct GateWait {
    receiver: oneshot::Receiver<GateAnswer>,
    gate: Arc<ServiceGate>,
}

impl Drop for GateWait {
    fn drop(&mut self) {
        self.receiver.close();
        let gone = self
            .gate
            .gate
            .with(|gate| gate.withdraw(|waiter| waiter.sender.is_closed()));
        drop(gone);
    }
}
