use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::fleet::MemberInfo;
use anvilhub_coord::time::ClockTime;
use bytes::Bytes;
use hyper::http::response::Parts;
use log::debug;
use tokio::time::{sleep, timeout};

use crate::pool::{PoolError, UpstreamConnection};

use super::{ForwardedRequest, Gateway, RelayHeaders, RelayOrders};

/// Maximum time for connecting to a relay and receiving its greeting. Covers several round trips between failure
/// domains and the time for which a relay may be busy. After that it is faster to gather the answer on this instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(40);
/// Maximum time in which a relay answers a ping while it works on a request.
const PING_TIMEOUT: Duration = Duration::from_millis(60);

/// A request that is relayed to a larger instance.
pub(super) struct RelayRun {
    pub(super) gateway: Arc<Gateway>,
    pub(super) request: Arc<ForwardedRequest>,
    /// The relay headers to add; `waited` is replaced when the request is sent.
    pub(super) relay_headers: RelayHeaders,
    pub(super) arrived_at: ClockTime,
    /// Time between two pings of a relay that has not answered.
    pub(super) ping_interval: Duration,
    /// Time after the request's arrival within which the answer must have been received.
    pub(super) answer_timeout: Duration,
}

/// How relaying a request ended.
pub(super) enum RelayOutcome {
    /// The relay's answer.
    Answered(Parts, Bytes),
    /// Nothing was sent to any upstream, for this reason.
    NotSent(String),
    /// The relay answers pings, but has not answered the request in time. It may have sent the request to upstreams.
    Late,
    /// The relay failed for this reason and may have sent the request to upstreams.
    Failed(String),
}

impl RelayRun {
    /// Relays the request to `relay` and reads its answer. Counts the outcome in the metrics.
    pub(super) async fn relay_to(&self, relay: &MemberInfo) -> RelayOutcome {
        let outcome = self.exchange(relay).await;
        let relay = &relay.instance;
        let label = match &outcome {
            RelayOutcome::Answered(..) => "answered",
            RelayOutcome::NotSent(reason) => {
                debug!(peer:% = relay; "request not relayed: {reason}");
                "not_sent"
            }
            RelayOutcome::Late => "late",
            RelayOutcome::Failed(reason) => {
                self.gateway.fleet.mark_suspect(relay, reason);
                "lost"
            }
        };
        metrics::counter!("anvilhub_relayed_total", "outcome" => label).increment(1);
        outcome
    }

    /// Sends the request and reads the answer, until the relay fails.
    async fn exchange(&self, relay: &MemberInfo) -> RelayOutcome {
        let opening = timeout(
            CONNECT_TIMEOUT,
            UpstreamConnection::open_greeted(relay.relay_address),
        );
        let mut connection = match opening.await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return self.record_unreachable(relay, &error),
            Err(_) => {
                let limit_ms = CONNECT_TIMEOUT.as_millis();
                let reason = format!("the relay sent no greeting within {limit_ms} ms");
                return self.record_unreachable(relay, &reason);
            }
        };
        let now = self.gateway.clock.now();
        let waited = now.since(self.arrived_at);
        let orders = RelayOrders::collect(now, &self.gateway.domains);
        let request = self.request.to_request(|headers| {
            let relay_headers = RelayHeaders {
                waited,
                ..self.relay_headers
            };
            relay_headers.write(headers);
            orders.write(headers);
        });
        let limit = self.gateway.settings.max_answer_size;
        let answer = connection.send(request, limit, || {});
        tokio::select! {
            // A process that is slow finds the answer and the end of the time at once.
            biased;
            answer = answer => self.classify_answer(relay, answer),
            outcome = self.wait_for_failure(relay) => outcome,
        }
    }

    /// Records that the relay could not be reached; the request was not sent.
    fn record_unreachable(
        &self,
        relay: &MemberInfo,
        reason: &dyn std::fmt::Display,
    ) -> RelayOutcome {
        let reason = reason.to_string();
        self.gateway.fleet.mark_suspect(&relay.instance, &reason);
        RelayOutcome::NotSent(reason)
    }

    /// Decides from the relay's answer how relaying ended.
    fn classify_answer(
        &self,
        relay: &MemberInfo,
        answer: Result<(Parts, Bytes), PoolError>,
    ) -> RelayOutcome {
        match answer {
            Ok((head, body)) => match RelayHeaders::decline_reason(&head.headers) {
                Some(reason) => RelayOutcome::NotSent(format!("the relay declined: {reason}")),
                None => RelayOutcome::Answered(head, body),
            },
            Err(error @ (PoolError::Unconnected { .. } | PoolError::Unsent { .. })) => {
                self.record_unreachable(relay, &error)
            }
            Err(error) => RelayOutcome::Failed(error.to_string()),
        }
    }

    /// Waits until the relay leaves a ping unanswered or no time is left. A ping that is awaited then says nothing about the
    /// relay, which may be about to answer.
    async fn wait_for_failure(&self, relay: &MemberInfo) -> RelayOutcome {
        let waited = self.gateway.clock.now().since(self.arrived_at);
        tokio::select! {
            // A process that is slow finds an unanswered ping and the end of the time at once.
            biased;
            () = sleep(self.answer_timeout.saturating_sub(waited)) => RelayOutcome::Late,
            reason = self.ping_until_lost(relay) => RelayOutcome::Failed(reason),
        }
    }

    /// Pings the relay until it leaves a ping unanswered. Returns the reason.
    async fn ping_until_lost(&self, relay: &MemberInfo) -> String {
        loop {
            sleep(self.ping_interval).await;
            let ping = self.gateway.fleet.ping(relay.peer_address, PING_TIMEOUT);
            if let Err(error) = ping.await {
                return error.to_string();
            }
        }
    }
}
