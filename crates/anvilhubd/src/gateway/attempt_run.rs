use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::gateway::FailureKind;
use anvilhub_coord::sheet::RepeatPolicy;
use anvilhub_coord::time::ClockTime;
use bytes::Bytes;
use hyper::header::{self, HeaderMap};
use hyper::http::response::Parts;
use tokio::time::timeout;

use crate::pool::{PoolError, UpstreamConnection};

use super::{
    AttemptEnd, AttemptGuard, ForwardRequest, Gateway, RouteState, SendFacts, UpstreamAnswer,
    UpstreamNode,
};

/// Longest rest of a connection that carries a request which must not run twice: one that was closed meanwhile
/// leaves the outcome unknown.
const FRESH_REST: Duration = Duration::from_millis(200);
/// Body above which a connection is not used again: an upstream may answer before it has read all of it.
const LARGE_BODY: usize = 16 * 1024;
/// Least time left with which sending makes sense.
const LEAST_TIME: Duration = Duration::from_millis(2);

/// Sends a request to one upstream and reads the answer.
pub(super) struct AttemptRun {
    pub(super) gateway: Arc<Gateway>,
    pub(super) node: Arc<UpstreamNode>,
    pub(super) request: Arc<ForwardRequest>,
    pub(super) route: Arc<RouteState>,
    pub(super) repeat: RepeatPolicy,
    pub(super) usual: Duration,
    pub(super) deadline: ClockTime,
}

/// A connection that can take a request.
struct ReadyLink {
    connection: UpstreamConnection,
    /// When it was opened or last proved to work.
    opened: ClockTime,
    /// Whether it carried a request before.
    is_kept: bool,
}

impl AttemptRun {
    pub(super) async fn run(self) -> AttemptEnd {
        let guard = AttemptGuard::new(Arc::clone(&self.node), self.gateway.clock, self.usual);
        let started = self.gateway.clock.now();
        let end = self.exchange(started).await;
        match &end {
            AttemptEnd::Answered(_) => {
                let now = self.gateway.clock.now();
                self.route.record(now, now.since(started));
                guard.answered();
            }
            AttemptEnd::FailedThere(_) => guard.failed(FailureKind::Broken),
            AttemptEnd::NotRun { .. } => guard.refused(),
            AttemptEnd::NotSent { .. } => guard.failed(FailureKind::Unconnected),
            AttemptEnd::Unknown { kind, .. } => guard.failed(*kind),
        }
        end
    }

    async fn exchange(&self, started: ClockTime) -> AttemptEnd {
        let left = self.deadline.since(started);
        let Ok(permit) = timeout(left, self.node.connections.acquire()).await else {
            return not_sent("every connection of this instance's share is in use");
        };
        let _permit = permit.expect("the semaphore stays open");
        let ReadyLink {
            mut connection,
            opened,
            is_kept,
        } = match self.connect().await {
            Ok(link) => link,
            Err(reason) => return not_sent(&reason),
        };
        let now = self.gateway.clock.now();
        let left = self.deadline.since(now);
        if left < LEAST_TIME || self.node.is_gone() {
            return not_sent("no time is left");
        }
        let request = self.request.to_request(|headers| {
            let upstream = &self.node.entry.id;
            let facts = SendFacts {
                upstream,
                time_left: left,
            };
            self.gateway.wire.write_request(headers, &facts);
        });
        let limit = self.gateway.settings.most_answer;
        let sent = timeout(left, connection.send(request, limit, || {})).await;
        let now = self.gateway.clock.now();
        match sent {
            Ok(Ok((head, body))) => {
                let end = self.classify(now, is_kept, head, body);
                let is_clean = matches!(
                    end,
                    AttemptEnd::Answered(_)
                        | AttemptEnd::FailedThere(_)
                        | AttemptEnd::NotRun { .. }
                );
                if is_clean && self.request.body.len() <= LARGE_BODY {
                    self.node
                        .shelf
                        .with(|shelf| shelf.put(now, opened, connection));
                }
                end
            }
            Ok(Err(error)) => self.broken(error),
            Err(_) => {
                self.node.shelf.with(|shelf| shelf.doubt(now));
                AttemptEnd::Unknown {
                    kind: FailureKind::Silent,
                    reason: "no answer in time".to_owned(),
                }
            }
        }
    }

    async fn connect(&self) -> Result<ReadyLink, String> {
        let now = self.gateway.clock.now();
        let most_rest = match self.repeat {
            RepeatPolicy::Idempotent => Duration::MAX,
            RepeatPolicy::NonIdempotent => FRESH_REST,
        };
        while let Some(mut connection) = self.node.shelf.with(|shelf| shelf.take(now, most_rest)) {
            if connection.wait_ready().await {
                return Ok(ReadyLink {
                    connection,
                    opened: now,
                    is_kept: true,
                });
            }
        }
        let most = self
            .deadline
            .since(now)
            .min(self.gateway.settings.connect_timeout);
        let mut connection = self.node.open_link(most).await?;
        match connection.wait_ready().await {
            true => Ok(ReadyLink {
                connection,
                opened: self.gateway.clock.now(),
                is_kept: false,
            }),
            false => Err("the new connection was closed at once".to_owned()),
        }
    }

    fn classify(&self, now: ClockTime, is_kept: bool, head: Parts, body: Bytes) -> AttemptEnd {
        let facts = self.gateway.wire.read_answer(head.status, &head.headers);
        match &facts.request {
            Some(request) if *request != self.request.id => {
                return unknown("the answer belongs to another request");
            }
            // It may be a second answer to the request before.
            None if is_kept => return unknown("the answer on a kept connection names no request"),
            Some(_) | None => {}
        }
        if let Some(load) = facts.load {
            self.node.gauge.with(|gauge| gauge.stated(now, load));
        }
        if let Some(timeout) = stated_timeout(&head.headers) {
            self.node.shelf.with(|shelf| shelf.state_timeout(timeout));
        }
        if facts.is_misdirected {
            self.node.set_gone();
        }
        if facts.not_run || facts.is_misdirected {
            return AttemptEnd::NotRun {
                status: head.status,
            };
        }
        if head.headers.contains_key(header::CONTENT_ENCODING) {
            return unknown("the answer is encoded, which nobody asked for");
        }
        let Some(signature) = facts.signature else {
            return unknown("the answer has no signature");
        };
        let answer = UpstreamAnswer {
            status: head.status,
            headers: head.headers,
            signature,
            body,
        };
        match answer.status.is_success() {
            true => AttemptEnd::Answered(answer),
            false => AttemptEnd::FailedThere(answer),
        }
    }

    fn broken(&self, error: PoolError) -> AttemptEnd {
        match error {
            PoolError::Unconnected { reason, .. } | PoolError::Unsent { reason, .. } => {
                not_sent(&reason)
            }
            other => unknown(&other.to_string()),
        }
    }
}

fn not_sent(reason: &str) -> AttemptEnd {
    AttemptEnd::NotSent {
        reason: reason.to_owned(),
    }
}

fn unknown(reason: &str) -> AttemptEnd {
    AttemptEnd::Unknown {
        kind: FailureKind::Broken,
        reason: reason.to_owned(),
    }
}

/// The idle timeout in whole seconds that a `Keep-Alive` header states.
fn stated_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let stated = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    stated.parse().ok().map(Duration::from_secs)
}
