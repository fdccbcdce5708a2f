use std::sync::Arc;

use anvilhub_coord::gateway::{HomeRegions, SubRequestState};
use anvilhub_coord::ids::{ServiceName, UpstreamId};
use anvilhub_coord::time::ClockTime;
use hyper::header::HeaderValue;

use super::{
    Gateway, RefusalReason, RefusalWait, ServiceGroup, SubRequestOutcome, TrackedUpstream,
};

/// The part of a request that is sent to one shard, or the whole of a request that is not gathered.
pub(super) struct SubRequest {
    pub(super) service: ServiceName,
    /// The upstreams of the service at the last look; `None` if the service had none.
    pub(super) group: Option<Arc<ServiceGroup>>,
    /// Generation of the lists of upstreams at the last look; `None` before the first one.
    group_generation: Option<u64>,
    pub(super) state: SubRequestState,
    /// The upstreams at which attempts were made, in the order of the attempts.
    pub(super) tried_upstreams: Vec<Arc<TrackedUpstream>>,
    /// Number of attempts that were placed and have not ended without being sent.
    pub(super) send_count: u32,
    /// Number of attempts that have not ended.
    pub(super) in_flight_count: u32,
    /// When a hedge is due; `None` if none is to be sent.
    pub(super) hedge_at: Option<ClockTime>,
    /// The upstream's signature of its answer; `None` while there is no answer.
    pub(super) signature: Option<HeaderValue>,
    pub(super) outcome: SubRequestOutcome,
}

impl SubRequest {
    /// Creates a sub-request that has not been sent and for which no upstream has been chosen or looked up.
    pub(super) fn new(service: ServiceName) -> Self {
        Self {
            service,
            group: None,
            group_generation: None,
            state: SubRequestState::Failed,
            tried_upstreams: Vec::new(),
            send_count: 0,
            in_flight_count: 0,
            hedge_at: None,
            signature: None,
            outcome: SubRequestOutcome::NoUpstream,
        }
    }

    /// Looks up the upstreams of the service that requests with these home regions may reach. Returns whether the lists of
    /// upstreams have changed since the last look.
    pub(super) fn look_up(&mut self, gateway: &Gateway, home_regions: &HomeRegions) -> bool {
        // Read first: upstreams that are replaced during the look are then looked up again.
        let generation = Some(gateway.groups_generation());
        if self.group_generation == generation {
            return false;
        }
        self.group_generation = generation;
        self.group = gateway.service_group(&self.service, home_regions);
        true
    }

    /// Returns whether an attempt was made at `upstream`.
    pub(super) fn was_sent_to(&self, upstream: &TrackedUpstream) -> bool {
        self.tried_upstreams
            .iter()
            .any(|tried| std::ptr::eq(&**tried, upstream))
    }

    /// Returns when one of the upstreams may get the sub-request and why none may now; `None` if one may get it now, or none
    /// will because of limits, rests and evacuations alone.
    pub(super) fn refusal_wait(&self, gateway: &Gateway, now: ClockTime) -> Option<RefusalWait> {
        let leaving_grace = gateway.settings.leaving_grace_period;
        let group = self.group.as_ref()?;
        let mut waits = Vec::new();
        for upstream in &group.upstreams {
            let permit = gateway.fleet.send_permit(now, &upstream.process);
            match upstream.refusal_wait(now, permit) {
                _ if !upstream.is_staying(now, leaving_grace) => {}
                Some(wait) => waits.push(wait),
                None => return None,
            }
        }
        waits.into_iter().min_by_key(|wait| wait.time)
    }

    /// Returns whether an upstream of the service has neither left nor is about to.
    pub(super) fn has_staying_upstream(&self, gateway: &Gateway, now: ClockTime) -> bool {
        let leaving_grace = gateway.settings.leaving_grace_period;
        let mut upstreams = self.group.iter().flat_map(|group| &group.upstreams);
        upstreams.any(|upstream| upstream.is_staying(now, leaving_grace))
    }

    /// Records why the sub-request is not sent, unless it was sent before. Counts it if that is an evacuation.
    pub(super) fn record_refusal(&mut self, reason: RefusalReason) {
        let outcome = SubRequestOutcome::Ended(reason.name().to_owned());
        if self.send_count > 0 || self.outcome == outcome {
            return;
        }
        self.outcome = outcome;
        // An attempt that was made and not sent was counted when it ended.
        if reason == RefusalReason::Evacuated && self.tried_upstreams.is_empty() {
            metrics::counter!("anvilhub_evacuation_withheld_total").increment(1);
        }
    }

    /// Returns the id of the upstream of the last attempt; `None` before the first one.
    pub(super) fn last_upstream(&self) -> Option<&UpstreamId> {
        self.tried_upstreams
            .last()
            .map(|upstream| &upstream.record.id)
    }
}
