use std::net::SocketAddr;
use std::sync::Arc;

use anvilhub_coord::border::query::{CoverageEntry, QueryAnswer, QueryOutcome};
use anvilhub_coord::border::upstream::{RefusalReason, SubAnswer, SubRequest};
use anvilhub_coord::ids::RequestId;
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::LeavingSignal;
use anvilhub_coord::sheet::{RepeatPolicy, ReplicaSpec, ShardSpec};
use anvilhub_coord::ticket::{
    NotRunReason, RequestTicket, SendDecision, TicketOutcome, TicketRun, TryDecision, TryResult,
};
use log::{info, warn};
use tokio::time::timeout;

use crate::context::EntryContext;
use crate::filters::EntryRequest;
use crate::pool::{ConnectionLease, PoolError};
use crate::routes::UpstreamRoute;

/// Runs one ticketed request at one upstream.
pub(crate) struct TicketExecutor {
    pub(crate) context: Arc<EntryContext>,
    pub(crate) request: EntryRequest,
    pub(crate) ticket: RequestTicket,
    pub(crate) key: u64,
}

impl TicketExecutor {
    /// Tries replicas until one answers, a try leaves the effect open, or none is left.
    pub(crate) async fn execute(&self, run: &mut TicketRun) -> TicketOutcome {
        let Ok(service) = self.request.service() else {
            return TicketOutcome::NotRun(NotRunReason::NoUpstream);
        };
        let range = KeyRange::single(self.key);
        let Some(shard) = service.shards_in(range).next() else {
            return TicketOutcome::NotRun(NotRunReason::NoUpstream);
        };
        let mut reason = NotRunReason::NoUpstream;
        for replica in self.context.replicas_by_preference(shard) {
            let upstream = self.upstream(shard, replica);
            // A try before this one may have waited, so the view is read anew.
            let now = self.context.clock.now();
            if upstream
                .as_ref()
                .is_some_and(|upstream| upstream.load(now).leaving)
            {
                self.log_try(shard, replica, "leaving");
                continue;
            }
            reason = NotRunReason::Refused;
            if let Some(outcome) = self.try_replica(run, shard, replica, upstream).await {
                return outcome;
            }
        }
        TicketOutcome::NotRun(reason)
    }

    /// What this instance knows about the replica, unless a newer sheet removed it.
    fn upstream(&self, shard: &ShardSpec, replica: &ReplicaSpec) -> Option<Arc<UpstreamRoute>> {
        let routes = self.context.routes()?;
        let service = routes.services.get(&self.request.query.service)?;
        let mut replicas = service.shard(&shard.name)?.replicas.iter();
        replicas
            .find(|upstream| upstream.spec.id == replica.id)
            .cloned()
    }

    /// Makes one try; `None` means that it provably did not run.
    async fn try_replica(
        &self,
        run: &mut TicketRun,
        shard: &ShardSpec,
        replica: &ReplicaSpec,
        upstream: Option<Arc<UpstreamRoute>>,
    ) -> Option<TicketOutcome> {
        // The pool hands out a new connection or one with a recent proof of life. A silent one would leave the
        // effect unknown.
        let patience = self.context.settings.connect_timeout;
        let lease = self
            .context
            .pool
            .acquire(replica.address, RepeatPolicy::NonIdempotent, patience)
            .await;
        let lease = match lease {
            Ok(lease) => lease,
            Err(error) => {
                self.log_try(shard, replica, &error.to_string());
                return None;
            }
        };
        // The decision comes after the wait for the connection: the process may have been paused in it.
        if self.context.was_paused_since(self.request.arrived) {
            return Some(TicketOutcome::NotRun(NotRunReason::Paused));
        }
        if let SendDecision::Stop(outcome) = run.may_send(self.context.clock.now()) {
            return Some(outcome);
        }
        let result = self.send(lease, run, replica.address).await;
        if let (Some(signal), Some(upstream)) = (leaving_signal(&result), upstream) {
            upstream.mark_leaving(self.context.clock.now(), signal);
        }
        let tried = match &result {
            Ok(_) => TryResult::Answered,
            Err(PoolError::Unconnected { .. } | PoolError::Unsent { .. }) => TryResult::NeverOpened,
            Err(PoolError::Refused { .. }) => TryResult::Refused,
            Err(_) => TryResult::Lost,
        };
        if let Err(error) = &result {
            warn!(ticket:% = run.number(), upstream:% = replica.id; "ticketed request failed: {error}");
        }
        match run.after_try(tried) {
            TryDecision::TryAgain => {
                self.log_try(shard, replica, "proved not run");
                None
            }
            TryDecision::Stop(outcome) => Some(outcome),
            TryDecision::Finish => {
                self.log_try(shard, replica, "answered");
                result
                    .ok()
                    .map(|answer| TicketOutcome::Done(Arc::new(self.answer(answer))))
            }
        }
    }

    async fn send(
        &self,
        lease: ConnectionLease,
        run: &TicketRun,
        address: SocketAddr,
    ) -> crate::pool::Result<SubAnswer> {
        let range = KeyRange::single(self.key);
        let remaining = run.deadline().since(self.context.clock.now());
        let sub_request = SubRequest {
            request_id: self.sub_request_id(),
            service: self.request.query.service.clone(),
            start: range.start,
            end: range.end,
            snapshot: None,
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            idempotent: false,
            key: Some(self.key),
            query: self.request.query.query.clone(),
        };
        let exchange = lease.query(&sub_request, self.context.settings.max_answer);
        let answer = timeout(remaining, exchange)
            .await
            .unwrap_or(Err(PoolError::Timeout { address }))?;
        // An upstream that no longer owns the key may still have acted on the request.
        match KeyRange::new(answer.start, answer.end).covers(range) {
            true => Ok(answer),
            false => Err(PoolError::BadAnswer {
                address,
                reason: format!(
                    "it covers {}..{}, not key {}",
                    answer.start, answer.end, self.key
                ),
            }),
        }
    }

    /// The ticket's identity, which no other request has: upstreams can count effects by it.
    fn sub_request_id(&self) -> RequestId {
        let owner = &self.ticket.owner;
        let text = format!(
            "ticket/{}/{}/{}",
            owner.instance, owner.incarnation, self.ticket.number
        );
        text.parse()
            .unwrap_or_else(|_| self.request.query.request_id.clone())
    }

    fn answer(&self, answer: SubAnswer) -> QueryAnswer {
        let range = KeyRange::single(self.key);
        let rows = answer
            .rows
            .into_iter()
            .filter(|row| range.contains(row.key));
        QueryAnswer {
            request_id: self.request.query.request_id.clone(),
            outcome: QueryOutcome::Done,
            rows: rows.collect(),
            snapshot: Some(answer.snapshot),
            coverage: Some(CoverageEntry {
                complete: true,
                fraction: 1.0,
                missing: Vec::new(),
            }),
            ticket: None,
            error: None,
        }
    }

    fn log_try(&self, shard: &ShardSpec, replica: &ReplicaSpec, reason: &str) {
        info!(
            request_id:% = self.request.query.request_id, ticket:% = self.ticket.number,
            shard:% = shard.name, upstream:% = replica.id, reason; "ticketed request routed"
        );
    }
}

/// The signal in a reply that its upstream is leaving.
fn leaving_signal(result: &crate::pool::Result<SubAnswer>) -> Option<LeavingSignal> {
    match result {
        Ok(answer) if answer.draining => Some(LeavingSignal::Answer),
        Err(PoolError::Refused { refusal })
            if refusal.draining || refusal.reason == RefusalReason::Draining =>
        {
            Some(LeavingSignal::Refusal)
        }
        _ => None,
    }
}
