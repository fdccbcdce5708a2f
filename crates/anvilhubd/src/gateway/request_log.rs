use std::time::Duration;

use anvilhub_coord::gateway::RouteName;
use anvilhub_coord::ids::SheetVersion;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use log::{Level, log};
use metrics::{counter, histogram};

use super::{FanoutOutcome, RequestMetadata, SubRequestOutcome};

/// Maximum number of sub-requests that are named in a log line.
const MAX_NAMED_SUB_REQUESTS: usize = 8;

/// The log line of a request, with the decisions that were made for it and their reasons.
#[derive(Debug, Default)]
pub(super) struct RequestLog {
    pub(super) request_id: Option<HeaderValue>,
    pub(super) route: Option<RouteName>,
    pub(super) version: Option<SheetVersion>,
    pub(super) time_left: Option<Duration>,
    pub(super) waited_before: Duration,
    pub(super) hedge_delay: Duration,
    pub(super) platform_age: Duration,
    pub(super) reason: &'static str,
    /// The instance to which the request was relayed.
    pub(super) relay: String,
    /// Why that instance did not answer.
    pub(super) relay_fault: String,
    /// Whether another instance relayed the request to this one.
    pub(super) is_relayed: bool,
    sub_request_count: usize,
    done_count: usize,
    /// Number of hedges and retries.
    extra_sends: u32,
    /// The sub-requests that are not done, with their outcomes.
    unfinished: String,
    /// The upstream of the last attempt, if there is only one sub-request.
    upstream: String,
}

impl RequestLog {
    /// Creates the log line of a request with `metadata`.
    pub(super) fn new(metadata: &RequestMetadata) -> Self {
        Self {
            request_id: metadata.request_id.clone(),
            time_left: metadata.time_left,
            ..Self::default()
        }
    }

    /// Records the outcome of the fan-out.
    pub(super) fn record_outcome(&mut self, outcome: &FanoutOutcome) {
        self.sub_request_count = outcome.sub_requests.len();
        self.extra_sends = outcome.extra_sends;
        self.done_count = outcome
            .sub_requests
            .iter()
            .filter(|sub_request| sub_request.outcome == SubRequestOutcome::Done)
            .count();
        let unfinished = outcome
            .sub_requests
            .iter()
            .filter(|sub_request| sub_request.outcome != SubRequestOutcome::Done);
        let named: Vec<String> = unfinished
            .take(MAX_NAMED_SUB_REQUESTS)
            .map(|sub_request| match sub_request.last_upstream() {
                Some(upstream) => format!(
                    "{} at {upstream}: {}",
                    sub_request.service, sub_request.outcome
                ),
                None => format!("{}: {}", sub_request.service, sub_request.outcome),
            })
            .collect();
        self.unfinished = named.join("; ");
        if let [sub_request] = outcome.sub_requests.as_slice() {
            self.upstream = sub_request
                .last_upstream()
                .map(ToString::to_string)
                .unwrap_or_default();
        }
    }

    /// Writes the line and counts the request in the metrics.
    pub(super) fn write(&self, status: StatusCode, waited: Duration) {
        let is_complete = self.done_count == self.sub_request_count;
        let level = match (status.is_success(), is_complete) {
            (true, true) => Level::Info,
            _ => Level::Warn,
        };
        let request_id = self
            .request_id
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
            request:% = request_id,
            route = route,
            version = self.version.map(|version| version.get()).unwrap_or_default(),
            status = status.as_u16(),
            reason = self.reason,
            waited_ms = waited.as_millis() as u64,
            time_left_ms = self.time_left.unwrap_or_default().as_millis() as u64,
            waited_before_ms = self.waited_before.as_millis() as u64,
            hedge_ms = self.hedge_delay.as_millis() as u64,
            platform_age_ms = self.platform_age.as_millis() as u64,
            parts = self.sub_request_count,
            done = self.done_count,
            extra = self.extra_sends,
            upstream = self.upstream.as_str(),
            unfinished = self.unfinished.as_str(),
            relay = self.relay.as_str(),
            relay_fault = self.relay_fault.as_str(),
            passed_on = self.is_relayed;
            "request ended"
        );
        let labels = [
            ("route", route.to_owned()),
            ("status", status.as_u16().to_string()),
            ("reason", self.reason.to_owned()),
        ];
        counter!("anvilhub_requests_total", &labels).increment(1);
        counter!("anvilhub_extra_sends_total").increment(u64::from(self.extra_sends));
        histogram!("anvilhub_request_seconds", "route" => route.to_owned())
            .record(waited.as_secs_f64());
    }
}
