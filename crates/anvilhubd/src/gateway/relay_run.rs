use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::fleet::MemberInfo;
use anvilhub_coord::time::ClockTime;
use bytes::Bytes;
use hyper::http::response::Parts;
use log::debug;
use tokio::time::{sleep, timeout};

use crate::pool::{PoolError, UpstreamConnection};

use super::{ForwardRequest, Gateway, RelayHeaders};

/// Longest time until a relay greets: several round trips between failure domains, and the time for which a relay may
/// be busy. A request that waits longer is better gathered here.
const CONNECT_TIME: Duration = Duration::from_millis(40);
/// How long a relay may take to answer a ping while it works on a request.
const PING_TIME: Duration = Duration::from_millis(60);

/// Passes a request on to a larger instance and reads its answer.
pub(super) struct RelayRun {
    pub(super) gateway: Arc<Gateway>,
    pub(super) relay: MemberInfo,
    pub(super) request: Arc<ForwardRequest>,
    /// Its `waited` is set when the request is sent.
    pub(super) head: RelayHeaders,
    pub(super) arrived: ClockTime,
    /// Time after which a relay that has not answered must show that it is alive, again and again.
    pub(super) doubt_time: Duration,
    pub(super) time_left: Duration,
}

/// How passing on a request ended.
pub(super) enum RelayOutcome {
    /// The relay's answer.
    Answered(Parts, Bytes),
    /// Nothing was sent to any upstream.
    NotSent(String),
    /// The relay may have sent the request to upstreams.
    Lost(String),
}

impl RelayRun {
    pub(super) async fn run(self) -> RelayOutcome {
        let end = self.exchange().await;
        let relay = &self.relay.instance;
        let outcome = match &end {
            RelayOutcome::Answered(..) => "answered",
            RelayOutcome::NotSent(reason) => {
                debug!(peer:% = relay; "not passed on: {reason}");
                "not_sent"
            }
            RelayOutcome::Lost(reason) => {
                self.gateway.fleet.mark_suspect(relay, reason);
                "lost"
            }
        };
        metrics::counter!("anvilhub_relayed_total", "outcome" => outcome).increment(1);
        end
    }

    async fn exchange(&self) -> RelayOutcome {
        let opening = timeout(
            CONNECT_TIME,
            UpstreamConnection::open_greeted(self.relay.relay_address),
        );
        let mut connection = match opening.await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return self.unreached(&error),
            Err(_) => return self.unreached(&"connecting timed out"),
        };
        let waited = self.gateway.clock.now().since(self.arrived);
        let request = self.request.to_request(|headers| {
            let head = RelayHeaders {
                waited,
                ..self.head
            };
            head.write(headers);
        });
        let limit = self.gateway.settings.max_answer_size;
        let sent = connection.send(request, limit, || {});
        tokio::select! {
            sent = sent => self.answered(sent),
            reason = self.silence() => RelayOutcome::Lost(reason),
        }
    }

    fn unreached(&self, reason: &dyn std::fmt::Display) -> RelayOutcome {
        let reason = reason.to_string();
        self.gateway
            .fleet
            .mark_suspect(&self.relay.instance, &reason);
        RelayOutcome::NotSent(reason)
    }

    fn answered(&self, sent: Result<(Parts, Bytes), PoolError>) -> RelayOutcome {
        match sent {
            Ok((head, body)) => match RelayHeaders::declined(&head.headers) {
                Some(reason) => RelayOutcome::NotSent(format!("the relay declined: {reason}")),
                None => RelayOutcome::Answered(head, body),
            },
            Err(error @ (PoolError::Unconnected { .. } | PoolError::Unsent { .. })) => {
                self.unreached(&error)
            }
            Err(error) => RelayOutcome::Lost(error.to_string()),
        }
    }

    /// Returns once the relay does not answer pings any more, or the time is over.
    async fn silence(&self) -> String {
        loop {
            let waited = self.gateway.clock.now().since(self.arrived);
            if waited >= self.time_left {
                return "no answer in time".to_owned();
            }
            sleep(self.doubt_time.min(self.time_left - waited)).await;
            let asked = self.gateway.fleet.ping(self.relay.peer_address, PING_TIME);
            if let Err(error) = asked.await {
                return error.to_string();
            }
        }
    }
}
