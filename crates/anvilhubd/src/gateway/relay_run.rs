use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::fleet::MemberInfo;
use anvilhub_coord::time::ClockTime;
use bytes::Bytes;
use hyper::http::response::Parts;
use log::debug;
use tokio::time::{sleep, timeout};

use crate::pool::{PoolError, UpstreamConnection};

use super::{ForwardRequest, Gateway, RelayHead};

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
    pub(super) head: RelayHead,
    pub(super) arrived: ClockTime,
    /// Time after which a relay that has not answered must show that it is alive, again and again.
    pub(super) doubt_time: Duration,
    pub(super) time_left: Duration,
}

/// How passing on a request ended.
pub(super) enum RelayEnd {
    /// The relay's answer.
    Answered(Parts, Bytes),
    /// Nothing was sent to any upstream.
    NotSent(String),
    /// The relay may have sent the request to upstreams.
    Lost(String),
}

impl RelayRun {
    pub(super) async fn run(self) -> RelayEnd {
        let end = self.exchange().await;
        let relay = &self.relay.instance;
        let outcome = match &end {
            RelayEnd::Answered(..) => "answered",
            RelayEnd::NotSent(reason) => {
                debug!(peer:% = relay; "not passed on: {reason}");
                "not_sent"
            }
            RelayEnd::Lost(reason) => {
                self.gateway.fleet.mark_suspect(relay, reason);
                "lost"
            }
        };
        metrics::counter!("anvilhub_relayed_total", "outcome" => outcome).increment(1);
        end
    }

    async fn exchange(&self) -> RelayEnd {
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
            let head = RelayHead {
                waited,
                ..self.head
            };
            head.write(headers);
        });
        let limit = self.gateway.settings.most_answer;
        let sent = connection.send(request, limit, || {});
        tokio::select! {
            sent = sent => self.answered(sent),
            reason = self.silence() => RelayEnd::Lost(reason),
        }
    }

    fn unreached(&self, reason: &dyn std::fmt::Display) -> RelayEnd {
        let reason = reason.to_string();
        self.gateway
            .fleet
            .mark_suspect(&self.relay.instance, &reason);
        RelayEnd::NotSent(reason)
    }

    fn answered(&self, sent: Result<(Parts, Bytes), PoolError>) -> RelayEnd {
        match sent {
            Ok((head, body)) => match RelayHead::declined(&head.headers) {
                Some(reason) => RelayEnd::NotSent(format!("the relay declined: {reason}")),
                None => RelayEnd::Answered(head, body),
            },
            Err(error @ (PoolError::Unconnected { .. } | PoolError::Unsent { .. })) => {
                self.unreached(&error)
            }
            Err(error) => RelayEnd::Lost(error.to_string()),
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
