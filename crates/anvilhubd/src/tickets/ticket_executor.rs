use std::sync::Arc;

use anvilhub_coord::border::query::{CoverageEntry, QueryAnswer, QueryOutcome};
use anvilhub_coord::border::upstream::{SubAnswer, SubRequest};
use anvilhub_coord::ids::{RequestFingerprint, RequestId};
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::routing::{AttemptKind, PickError, ReplicaCandidate, ReplicaPicker};
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::ticket::{
    NotRunReason, RequestTicket, RetryDecision, SendDecision, SendResult, TicketOutcome, TicketRun,
};
use anvilhub_coord::time::ClockTime;
use log::{info, warn};
use tokio::time::timeout;

use crate::entry_context::EntryContext;
use crate::fanout::fingerprint_query;
use crate::filters::EntryRequest;
use crate::pool::{ConnectionLease, PoolError, has_ended};
use crate::routes::{ShardRoute, SlotRefusal, UpstreamRoute};

/// Runs one ticketed request at one upstream.
pub(crate) struct TicketExecutor {
    pub(crate) context: Arc<EntryContext>,
    pub(crate) request: EntryRequest,
    pub(crate) ticket: RequestTicket,
    pub(crate) key: u64,
}

impl TicketExecutor {
    /// Admits the request and tries replicas until one answers, until an attempt leaves the effect unknown, or until no
    /// replica is left.
    pub(crate) async fn execute(&self, run: &mut TicketRun) -> TicketOutcome {
        let routes = self.context.routes_for(&self.request.sheet);
        let Some(service) = routes.services.get(&self.request.query.service) else {
            return TicketOutcome::NotRun(NotRunReason::NoUpstream);
        };
        let Some(shard) = service.shards_in(KeyRange::single(self.key)).next() else {
            return TicketOutcome::NotRun(NotRunReason::NoUpstream);
        };
        let urgency = self.request.urgency(&service.spec);
        let Ok(_permit) = service.gate.admit(urgency, run.deadline()).await else {
            return TicketOutcome::NotRun(NotRunReason::Shed);
        };
        let _slot = match shard.queue.acquire_slot(urgency, run.deadline()).await {
            Ok(slot) => slot,
            Err(SlotRefusal::Full) => return TicketOutcome::NotRun(NotRunReason::Shed),
            Err(SlotRefusal::Expired) => {
                return TicketOutcome::NotRun(NotRunReason::DeadlinePassed);
            }
        };
        self.try_replicas(run, shard).await
    }

    /// Tries one replica after another until an attempt ends the run of the ticket.
    async fn try_replicas(&self, run: &mut TicketRun, shard: &ShardRoute) -> TicketOutcome {
        let mut tried = vec![false; shard.replicas.len()];
        loop {
            let index = match self.choose_replica(shard, &tried) {
                Ok(index) => index,
                Err(PickError::NoReplica | PickError::AllLeaving) => {
                    return TicketOutcome::NotRun(NotRunReason::NoUpstream);
                }
                Err(PickError::AllTried | PickError::AllFull) => {
                    return TicketOutcome::NotRun(NotRunReason::Refused);
                }
            };
            tried[index] = true;
            if let Some(outcome) = self.run_attempt(run, shard, &shard.replicas[index]).await {
                return outcome;
            }
        }
    }

    /// Chooses the replica for the next attempt. It may have no free connection: the attempt then waits for one.
    fn choose_replica(&self, shard: &ShardRoute, tried: &[bool]) -> Result<usize, PickError> {
        let now = self.context.clock.now();
        let domain = &self.context.settings.failure_domain;
        let replicas = shard.replicas.iter().zip(tried);
        let candidates: Vec<_> = replicas
            .map(|(upstream, &tried)| ReplicaCandidate {
                load: upstream.current_load(now),
                is_local: upstream.spec.failure_domain == *domain,
                is_excluded: tried,
                lacks_connection: false,
            })
            .collect();
        let kind = tried.contains(&true).then_some(AttemptKind::Retry);
        let choice = ReplicaPicker::default().pick(&candidates, kind, &mut rand::rng())?;
        Ok(choice.index)
    }

    /// Makes one attempt. `None` means that the request provably did not run at the replica.
    async fn run_attempt(
        &self,
        run: &mut TicketRun,
        shard: &ShardRoute,
        upstream: &UpstreamRoute,
    ) -> Option<TicketOutcome> {
        if self.is_blamed() {
            return Some(TicketOutcome::NotRun(NotRunReason::Refused));
        }
        // The pool returns a new connection, or one that recently proved to work: after sending on a silent connection,
        // the effect would be unknown.
        let max_wait = self.context.settings.connect_timeout;
        let address = upstream.spec.address;
        let pool = &self.context.pool;
        let lease = pool.acquire(address, RepeatPolicy::NonIdempotent, max_wait);
        let lease = match lease.await {
            Ok(lease) => lease,
            Err(error) => {
                self.log_attempt(shard, upstream, &error.to_string());
                return None;
            }
        };
        // Checked after the wait for the connection, during which the process may have been paused.
        if self.context.was_paused_since(self.request.arrived_at) {
            return Some(TicketOutcome::NotRun(NotRunReason::Paused));
        }
        let sent_at = self.context.clock.now();
        if let SendDecision::Stop(outcome) = run.begin_send(sent_at) {
            return Some(outcome);
        }
        upstream.state.with(|state| state.view.record_send());
        let result = self.send(lease, run, upstream).await;
        self.record_crash(upstream, sent_at, &result).await;
        self.record_result(upstream, sent_at, &result);
        self.log_attempt(shard, upstream, &describe_result(&result));
        match run.record_send_result(to_send_result(&result)) {
            RetryDecision::Retry => None,
            RetryDecision::Stop(outcome) => Some(outcome),
            RetryDecision::Finish => {
                let answer = result.ok()?;
                Some(TicketOutcome::Done(Arc::new(self.build_answer(answer))))
            }
        }
    }

    /// Returns whether the request crashes the upstreams that run it, and must not be sent.
    fn is_blamed(&self) -> bool {
        self.context
            .crashes
            .verdict(&self.fingerprint())
            .is_blamed()
    }

    fn fingerprint(&self) -> RequestFingerprint {
        let query = &self.request.query;
        fingerprint_query(&query.service, Some(self.key), &query.query)
    }

    /// Records whether the upstream crashed under the request, or ran it to its end.
    async fn record_crash(
        &self,
        upstream: &UpstreamRoute,
        sent_at: ClockTime,
        result: &crate::pool::Result<SubAnswer>,
    ) {
        let crashes = &self.context.crashes;
        match result {
            Ok(_) => crashes.record_completion(self.fingerprint()),
            Err(PoolError::Broken { address, .. }) if has_ended(*address).await => {
                crashes.record_crash(self.fingerprint(), &upstream.spec.id, sent_at);
            }
            Err(_) => {}
        }
    }

    /// Sends the sub-request on the leased connection and checks that its answer covers the key.
    async fn send(
        &self,
        lease: ConnectionLease,
        run: &TicketRun,
        upstream: &UpstreamRoute,
    ) -> crate::pool::Result<SubAnswer> {
        let address = upstream.spec.address;
        let range = KeyRange::single(self.key);
        let time_left = run.deadline().since(self.context.clock.now());
        let sub_request = SubRequest {
            request_id: self.sub_request_id(),
            service: self.request.query.service.clone(),
            start: range.start,
            end: range.end,
            snapshot: None,
            deadline_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
            idempotent: false,
            key: Some(self.key),
            query: self.request.query.query.clone(),
        };
        let exchange = lease.query(&sub_request, self.context.settings.max_answer_size);
        let answer = timeout(time_left, exchange)
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

    /// Records the result of an attempt in the state of its upstream.
    fn record_result(
        &self,
        upstream: &UpstreamRoute,
        sent_at: ClockTime,
        result: &crate::pool::Result<SubAnswer>,
    ) {
        let now = self.context.clock.now();
        match result {
            Ok(answer) => upstream.record_answer(now, sent_at, answer),
            Err(PoolError::Refused { refusal }) => upstream.record_refusal(now, refusal),
            Err(PoolError::Unsent { .. }) => upstream.state.with(|state| state.view.revert_send()),
            Err(error) => {
                warn!(ticket:% = self.ticket.number, upstream:% = upstream.spec.id; "ticketed request failed: {error}");
                let waited = now.since(sent_at);
                upstream
                    .state
                    .with(|state| state.view.record_failure(now, waited));
            }
        }
    }

    /// Returns the identifier of the sub-request, made from the owner and the number of the ticket. No other request
    /// has it, so upstreams can count effects by it.
    fn sub_request_id(&self) -> RequestId {
        let owner = &self.ticket.owner;
        let text = format!(
            "ticket/{}/{}/{}",
            owner.instance, owner.incarnation, self.ticket.number
        );
        text.parse()
            .unwrap_or_else(|_| self.request.query.request_id.clone())
    }

    fn build_answer(&self, answer: SubAnswer) -> QueryAnswer {
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

    fn log_attempt(&self, shard: &ShardRoute, upstream: &UpstreamRoute, result: &str) {
        info!(
            request_id:% = self.request.query.request_id, ticket:% = self.ticket.number,
            shard:% = shard.name, upstream:% = upstream.spec.id, result; "ticketed request routed"
        );
    }
}

fn to_send_result(result: &crate::pool::Result<SubAnswer>) -> SendResult {
    match result {
        Ok(_) => SendResult::Answered,
        Err(PoolError::Unconnected { .. } | PoolError::Unsent { .. }) => SendResult::NotSent,
        Err(PoolError::Refused { .. }) => SendResult::Refused,
        Err(_) => SendResult::Lost,
    }
}

fn describe_result(result: &crate::pool::Result<SubAnswer>) -> String {
    match result {
        Ok(_) => "answered".to_owned(),
        Err(error) => error.to_string(),
    }
}
