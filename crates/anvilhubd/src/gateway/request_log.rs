use std::time::Duration;

use anvilhub_coord::gateway::RouteName;
use anvilhub_coord::ids::SheetVersion;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use log::{Level, log};
use metrics::{counter, histogram};

use super::{FanoutOutcome, RequestMetadata, SubRequestOutcome};

/// Most parts that a line names.
const MOST_NAMED_PARTS: usize = 8;

/// The log line of a request: the decisions that it met, and what decided them.
#[derive(Debug, Default)]
pub(super) struct RequestLog {
    pub(super) request: Option<HeaderValue>,
    pub(super) route: Option<RouteName>,
    pub(super) version: Option<SheetVersion>,
    pub(super) time_left: Option<Duration>,
    pub(super) waited_before: Duration,
    pub(super) hedge_delay: Duration,
    pub(super) platform_age: Duration,
    pub(super) reason: &'static str,
    /// The instance that gathered the parts on behalf of this one.
    pub(super) relay: String,
    /// Why that instance did not answer.
    pub(super) relay_fault: String,
    /// Whether another instance passed the request on.
    pub(super) is_passed_on: bool,
    parts: usize,
    done: usize,
    extra: u32,
    unfinished: String,
    upstream: String,
}

impl RequestLog {
    /// The line of a request that states `facts`.
    pub(super) fn new(facts: &RequestMetadata) -> Self {
        Self {
            request: facts.id.clone(),
            time_left: facts.time_left,
            ..Self::default()
        }
    }

    /// Takes in what became of the parts.
    pub(super) fn take_outcome(&mut self, outcome: &FanoutOutcome) {
        self.parts = outcome.parts.len();
        self.extra = outcome.extra;
        self.done = outcome
            .parts
            .iter()
            .filter(|part| part.outcome == SubRequestOutcome::Done)
            .count();
        let unfinished = outcome
            .parts
            .iter()
            .filter(|part| part.outcome != SubRequestOutcome::Done);
        let named: Vec<String> = unfinished
            .take(MOST_NAMED_PARTS)
            .map(|part| match part.last_upstream() {
                Some(upstream) => format!("{} at {upstream}: {}", part.service, part.outcome),
                None => format!("{}: {}", part.service, part.outcome),
            })
            .collect();
        self.unfinished = named.join("; ");
        if let [part] = outcome.parts.as_slice() {
            self.upstream = part
                .last_upstream()
                .map(ToString::to_string)
                .unwrap_or_default();
        }
    }

    /// Writes the line and counts the request.
    pub(super) fn write(&self, status: StatusCode, waited: Duration) {
        let is_whole = self.done == self.parts;
        let level = match (status.is_success(), is_whole) {
            (true, true) => Level::Info,
            _ => Level::Warn,
        };
        let request = self
            .request
            .as_ref()
            .map(|id| String::from_utf8_lossy(id.as_bytes()))
            .unwrap_or_default();
        let route = self
            .route
            .as_ref()
            .map(|route| route.as_str())
            .unwrap_or_default();
        log!(
            level,
            request:% = request,
            route = route,
            version = self.version.map(|version| version.get()).unwrap_or_default(),
            status = status.as_u16(),
            reason = self.reason,
            waited_ms = waited.as_millis() as u64,
            time_left_ms = self.time_left.unwrap_or_default().as_millis() as u64,
            waited_before_ms = self.waited_before.as_millis() as u64,
            hedge_ms = self.hedge_delay.as_millis() as u64,
            platform_age_ms = self.platform_age.as_millis() as u64,
            parts = self.parts,
            done = self.done,
            extra = self.extra,
            upstream = self.upstream.as_str(),
            unfinished = self.unfinished.as_str(),
            relay = self.relay.as_str(),
            relay_fault = self.relay_fault.as_str(),
            passed_on = self.is_passed_on;
            "request ended"
        );
        let labels = [
            ("route", route.to_owned()),
            ("status", status.as_u16().to_string()),
            ("reason", self.reason.to_owned()),
        ];
        counter!("anvilhub_requests_total", &labels).increment(1);
        counter!("anvilhub_extra_sends_total").increment(u64::from(self.extra));
        histogram!("anvilhub_request_seconds", "route" => route.to_owned())
            .record(waited.as_secs_f64());
    }
}
