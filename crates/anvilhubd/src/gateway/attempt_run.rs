use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilhub_coord::gateway::{CapacityClaim, FailureKind, RejectionReason};
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;
use bytes::Bytes;
use hyper::header::{self, HeaderMap};
use hyper::http::response::Parts;
use log::info;
use metrics::counter;
use tokio::time::timeout;

use crate::pool::{PoolError, UpstreamConnection, has_ended};

use super::{
    AttemptGuard, AttemptOutcome, ConnectionGrant, ForwardedRequest, Gateway, RemoteMeter,
    RouteState, SendGate, SendMetadata, TrackedUpstream, UpstreamAnswer, wait_cold,
};

/// Maximum idle time of a connection that is reused for a non-idempotent request. The longer a connection is idle, the
/// likelier it is that the upstream closes it while the request is sent, which makes the outcome unknown.
const MAX_NON_IDEMPOTENT_IDLE: Duration = Duration::from_millis(200);
/// Maximum size of a request body after which the connection is reused. An upstream may answer a request with a larger
/// body before it has read the whole body.
const MAX_REUSE_BODY_BYTES: usize = 16 * 1024;
/// Minimum time until the deadline for a request to be sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);

/// Time from choosing an upstream to sending the request to it, from which this is logged.
const LONG_WAIT: Duration = Duration::from_millis(500);

/// Sends a request to one upstream and reads its answer: one attempt.
pub(super) struct AttemptRun {
    pub(super) gateway: Arc<Gateway>,
    pub(super) upstream: Arc<TrackedUpstream>,
    pub(super) request: Arc<ForwardedRequest>,
    pub(super) route_state: Arc<RouteState>,
    pub(super) repeat_policy: RepeatPolicy,
    /// Median latency of the route's recent answers, or an estimate while too few are known; with the extra round trip
    /// to the upstream's failure domain, if that is part of its cost.
    pub(super) typical_latency: Duration,
    /// Time by which the answer must have been received.
    pub(super) deadline: ClockTime,
    /// By what the attempt is compared with others that wait for a connection.
    pub(super) claim: CapacityClaim,
    /// Whether the request may still be sent.
    pub(super) gate: Arc<SendGate>,
}

/// A connection on which a request can be sent.
struct ReadyConnection {
    connection: UpstreamConnection,
    /// When the connection was opened or last found open.
    checked_at: ClockTime,
}

impl AttemptRun {
    /// Makes the attempt and records how it ended in the statistics of the upstream and the route.
    pub(super) async fn run(self) -> AttemptOutcome {
        let guard = AttemptGuard::new(
            Arc::clone(&self.upstream),
            self.gateway.clock,
            self.typical_latency,
        );
        let started_at = self.gateway.clock.now();
        let outcome = self.exchange(started_at).await;
        if let AttemptOutcome::Answered(answer) | AttemptOutcome::FailedAtUpstream(answer) =
            &outcome
            && !self.upstream.distance.is_local()
        {
            RemoteMeter::record_answer(answer.size());
        }
        match &outcome {
            AttemptOutcome::Answered(answer) => {
                let now = self.gateway.clock.now();
                self.route_state.record_answer_size(answer.size());
                self.route_state.record_latency(now, now.since(started_at));
                guard.record_answer();
            }
            AttemptOutcome::FailedAtUpstream(_) => guard.record_failure(FailureKind::Broken),
            AttemptOutcome::NotRun { .. } => guard.record_refusal(),
            AttemptOutcome::NotSent { .. } => {
                self.record_unsent();
                guard.record_failure(FailureKind::Unconnected);
            }
            AttemptOutcome::Withdrawn
            | AttemptOutcome::Unsuitable
            | AttemptOutcome::Rejected { .. } => {
                if matches!(outcome, AttemptOutcome::Unsuitable) && self.upstream.is_evacuated() {
                    metrics::counter!("anvilhub_evacuation_withheld_total").increment(1);
                }
                self.record_unsent();
                drop(guard);
            }
            AttemptOutcome::Crashed { .. } => guard.record_failure(FailureKind::Broken),
            AttemptOutcome::Unknown { kind, .. } => guard.record_failure(*kind),
        }
        outcome
    }

    /// Gives back the room under the upstream's limits.
    fn record_unsent(&self) {
        let fleet = &self.gateway.fleet;
        fleet.limits.record_unsent(&self.upstream.process);
        fleet.warmups.release(&self.upstream.process);
    }

    /// Sends the request and reads the answer, at the latest until the deadline.
    async fn exchange(&self, started_at: ClockTime) -> AttemptOutcome {
        let _grant = match self.acquire_connection().await {
            Ok(grant) => grant,
            Err(outcome) => return outcome,
        };
        let permitted_at = self.gateway.clock.now();
        let reach_wait = self.gateway.reach.record_send();
        let ReadyConnection {
            mut connection,
            checked_at,
        } = match self.connect().await {
            Ok(connection) => connection,
            Err(reason) => return not_sent(&reason),
        };
        let now = self.gateway.clock.now();
        let time_left = self.deadline.since(now);
        if time_left < MIN_TIME_LEFT {
            return not_sent("no time is left");
        }
        let leaving_grace = self.gateway.settings.leaving_grace_period;
        if !self.upstream.is_usable(now, leaving_grace) {
            return AttemptOutcome::Unsuitable;
        }
        if let Some(outcome) = self.refuse_send(now) {
            self.upstream
                .idle_connections
                .with(|idle_connections| idle_connections.put(now, checked_at, connection));
            return outcome;
        }
        if !self.upstream.distance.is_local() {
            RemoteMeter::record_send(self.request.size());
        }
        let request = self.request.to_request(|headers| {
            let metadata = SendMetadata {
                upstream: &self.upstream.record.id,
                time_left,
            };
            self.gateway.codec.write_request(headers, &metadata);
        });
        self.log_long_wait(permitted_at.since(started_at), now.since(permitted_at));
        let is_reused = connection.is_used();
        let limit = self.gateway.settings.max_answer_size;
        let sent_at = now;
        let answer = timeout(time_left, connection.send(request, limit, || {})).await;
        drop(reach_wait);
        let now = self.gateway.clock.now();
        let outcome = match answer {
            Ok(Ok((head, body))) => {
                self.gateway.reach.record_answer();
                let outcome = self.classify_answer(now, is_reused, head, body);
                let is_reusable = matches!(
                    outcome,
                    AttemptOutcome::Answered(_)
                        | AttemptOutcome::FailedAtUpstream(_)
                        | AttemptOutcome::NotRun { .. }
                );
                if is_reusable && self.request.body.len() <= MAX_REUSE_BODY_BYTES {
                    self.upstream
                        .idle_connections
                        .with(|idle_connections| idle_connections.put(now, checked_at, connection));
                }
                outcome
            }
            Ok(Err(error)) => self.classify_error(sent_at, error).await,
            Err(_) => {
                self.upstream
                    .idle_connections
                    .with(|idle_connections| idle_connections.record_silence(now));
                AttemptOutcome::Unknown {
                    kind: FailureKind::Silent,
                    reason: "no answer in time".to_owned(),
                }
            }
        };
        if outcome.has_missed_upstream() {
            let warmups = &self.gateway.fleet.warmups;
            warmups.retract(sent_at, &self.upstream.process);
        }
        outcome
    }

    /// Decides at the last moment whether the request is sent. Returns the outcome of the attempt if it is not: the upstream
    /// is cold and has no room, or the request has ended.
    fn refuse_send(&self, now: ClockTime) -> Option<AttemptOutcome> {
        let fleet = &self.gateway.fleet;
        if !fleet.try_send(now, &self.upstream.process) {
            return Some(AttemptOutcome::Unsuitable);
        }
        let crashes = &fleet.crashes;
        if crashes.verdict(&self.request.fingerprint).is_blamed() || !self.gate.pass() {
            fleet.warmups.retract(now, &self.upstream.process);
            return Some(AttemptOutcome::Withdrawn);
        }
        None
    }

    /// Waits for one of this instance's connections to the upstream, until the deadline or until there is no reason left
    /// to wait.
    ///
    /// # Errors
    ///
    /// Fails with the outcome of the attempt, which has sent nothing.
    async fn acquire_connection(&self) -> Result<ConnectionGrant, AttemptOutcome> {
        let queue = &self.upstream.connection_queue;
        if let Some(grant) = queue.try_acquire_for(&self.claim) {
            return Ok(grant);
        }
        let leaving_grace = self.gateway.settings.leaving_grace_period;
        tokio::select! {
            biased;
            () = self.gate.wait_closed() => Err(AttemptOutcome::Withdrawn),
            () = self.upstream.wait_unusable(self.gateway.clock, leaving_grace) => {
                Err(AttemptOutcome::Unsuitable)
            }
            () = wait_cold(&self.gateway, &self.upstream) => Err(AttemptOutcome::Unsuitable),
            result = queue.acquire(self.claim) => match result {
                Ok(grant) => {
                    self.log_passed_over(&grant);
                    Ok(grant)
                }
                Err(reason) => Err(self.rejected(reason)),
            },
        }
    }

    /// Returns the outcome of an attempt that got no connection. Where priorities are in use, the wait says nothing about
    /// the upstream: a cooldown of it would also keep higher priorities away.
    fn rejected(&self, reason: RejectionReason) -> AttemptOutcome {
        match self.claim.is_ranked {
            true => AttemptOutcome::Rejected { reason },
            false => not_sent("every connection of this instance's share is in use"),
        }
    }

    /// Logs that the priority of the request was passed over up to its bound; one line for each request.
    fn log_passed_over(&self, grant: &ConnectionGrant) {
        let Some(passed_over) = grant.passed_over() else {
            return;
        };
        counter!("anvilhub_passed_over_total", "priority" => self.claim.priority.to_string())
            .increment(1);
        if self.request.is_passing_logged.swap(true, Ordering::Relaxed) {
            return;
        }
        let request_id = String::from_utf8_lossy(self.request.id.as_bytes());
        info!(
            request:% = request_id, upstream:% = self.upstream.record.id, priority = self.claim.priority,
            passed_over_ms = passed_over.as_millis() as u64, bound_ms = self.claim.max_passed_over.as_millis() as u64,
            waiting = self.upstream.connection_queue.waiting_count() as u64;
            "request goes first after its priority was passed over"
        );
    }

    /// Logs that the request is sent long after its upstream was chosen. `queued` is how long it waited for one of this
    /// instance's connections, and `connecting` for that connection to be open.
    fn log_long_wait(&self, queued: Duration, connecting: Duration) {
        if queued + connecting < LONG_WAIT {
            return;
        }
        let request_id = String::from_utf8_lossy(self.request.id.as_bytes());
        info!(
            request:% = request_id, upstream:% = self.upstream.record.id, queued_ms = queued.as_millis() as u64,
            connecting_ms = connecting.as_millis() as u64;
            "request sent after a long wait"
        );
    }

    /// Returns an idle connection that is still open, or a new one.
    ///
    /// # Errors
    ///
    /// Fails with the reason if no connection can be opened.
    async fn connect(&self) -> Result<ReadyConnection, String> {
        let now = self.gateway.clock.now();
        let max_idle = match self.repeat_policy {
            RepeatPolicy::Idempotent => Duration::MAX,
            RepeatPolicy::NonIdempotent => MAX_NON_IDEMPOTENT_IDLE,
        };
        while let Some(mut connection) = self
            .upstream
            .idle_connections
            .with(|idle_connections| idle_connections.take(now, max_idle))
        {
            if connection.wait_ready().await {
                return Ok(ReadyConnection {
                    connection,
                    checked_at: now,
                });
            }
        }
        let max_time = self
            .deadline
            .since(now)
            .min(self.gateway.settings.connect_timeout);
        let reach = &self.gateway.reach;
        let mut connection = match self.upstream.open_connection(max_time).await {
            Ok(connection) => connection,
            Err(reason) => {
                reach.record_open_failure();
                return Err(reason);
            }
        };
        reach.record_open();
        match connection.wait_ready().await {
            true => Ok(ReadyConnection {
                connection,
                checked_at: self.gateway.clock.now(),
            }),
            false => Err("the new connection was closed at once".to_owned()),
        }
    }

    /// Decides from an answer how the attempt ended, and records what the upstream states about its load and its
    /// connections.
    fn classify_answer(
        &self,
        now: ClockTime,
        is_reused: bool,
        head: Parts,
        body: Bytes,
    ) -> AttemptOutcome {
        let metadata = self.gateway.codec.read_answer(head.status, &head.headers);
        match &metadata.request_id {
            Some(request_id) if *request_id != self.request.id => {
                return unknown("the answer belongs to another request");
            }
            // An answer without a request id may be a second answer to the connection's previous request.
            None if is_reused => {
                return unknown("the answer on a reused connection has no request id");
            }
            Some(_) | None => {}
        }
        if let Some(load) = metadata.load {
            self.upstream
                .stats
                .with(|stats| stats.record_load(now, load));
            self.upstream.connection_queue.record_load(now, load);
        }
        if !metadata.is_misdirected {
            if metadata.is_leaving {
                self.upstream.record_leaving(now);
            }
            if let Some(rest) = metadata.rest {
                self.upstream.record_rest(now, rest);
            }
        }
        // The limit and the warm-up in a misdirected answer are those of another upstream.
        if !metadata.is_misdirected {
            if let Some(left) = metadata.warmup_left {
                let warmups = &self.gateway.fleet.warmups;
                warmups.record_answer(&self.upstream.process, left);
            }
            let has_run = metadata.signature.is_some() && !metadata.is_not_run;
            let limits = &self.gateway.fleet.limits;
            limits.record_answer(&self.upstream.process, metadata.limit, has_run);
        }
        if let Some(timeout) = parse_idle_timeout(&head.headers) {
            self.upstream
                .idle_connections
                .with(|idle_connections| idle_connections.set_idle_timeout(timeout));
        }
        if metadata.is_misdirected {
            self.upstream.mark_removed();
        }
        if metadata.is_not_run || metadata.is_misdirected {
            return AttemptOutcome::NotRun {
                status: head.status,
            };
        }
        if head.headers.contains_key(header::CONTENT_ENCODING) {
            return unknown("the answer has a content encoding that was not requested");
        }
        let Some(signature) = metadata.signature else {
            return unknown("the answer has no signature");
        };
        let answer = UpstreamAnswer {
            status: head.status,
            headers: head.headers,
            signature,
            body,
        };
        let crashes = &self.gateway.fleet.crashes;
        crashes.record_completion(self.request.fingerprint);
        match answer.status.is_success() {
            true => AttemptOutcome::Answered(answer),
            false => AttemptOutcome::FailedAtUpstream(answer),
        }
    }

    /// Decides from an error how an attempt sent at `sent_at` ended, and records a crash of the upstream.
    async fn classify_error(&self, sent_at: ClockTime, error: PoolError) -> AttemptOutcome {
        match error {
            PoolError::Unconnected { reason, .. } | PoolError::Unsent { reason, .. } => {
                not_sent(&reason)
            }
            PoolError::Broken { reason, .. } if has_ended(self.upstream.record.address).await => {
                let crashes = &self.gateway.fleet.crashes;
                crashes.record_crash(self.request.fingerprint, &self.upstream.record.id, sent_at);
                AttemptOutcome::Crashed { reason }
            }
            other => unknown(&other.to_string()),
        }
    }
}

fn not_sent(reason: &str) -> AttemptOutcome {
    AttemptOutcome::NotSent {
        reason: reason.to_owned(),
    }
}

fn unknown(reason: &str) -> AttemptOutcome {
    AttemptOutcome::Unknown {
        kind: FailureKind::Broken,
        reason: reason.to_owned(),
    }
}

/// Returns the idle timeout that a `Keep-Alive` header states in whole seconds.
fn parse_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
