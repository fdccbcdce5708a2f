use std::time::Duration;

use anvilhub_coord::gateway::RouteName;
use anvilhub_coord::ids::SheetVersion;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use log::{Level, log};
use metrics::{counter, histogram};

use super::{FanoutOutcome, RequestMetadata, SubRequestOutcome};

/// Maximum number of unfinished sub-requests that a log line names.
const MAX_NAMED_SUB_REQUESTS: usize = 8;

/// The fields of a request's log line: what was decided for the request, and why.
#[derive(Debug, Default)]
pub(super) struct RequestLog {
    pub(super) request_id: Option<HeaderValue>,
    pub(super) route: Option<RouteName>,
    /// Version of the configuration by which the request was answered.
    pub(super) version: Option<SheetVersion>,
    /// Time left that the request stated when it arrived.
    pub(super) time_left: Option<Duration>,
    /// Estimated time that the caller had waited before its request arrived.
    pub(super) waited_before: Duration,
    /// Time after an attempt is sent at which a hedge was due.
    pub(super) hedge_delay: Duration,
    /// Time since the platform's last answer when the request arrived.
    pub(super) platform_age: Duration,
    /// Why the request ended with its status.
    pub(super) reason: &'static str,
    /// The instance to which the request was relayed; empty if it was not relayed.
    pub(super) relay: String,
    /// Why that instance did not answer; empty if it did.
    pub(super) relay_fault: String,
    /// Whether another instance relayed the request to this one.
    pub(super) is_relayed: bool,
    sub_request_count: usize,
    /// Number of sub-requests that an upstream answered.
    done_count: usize,
    /// Number of hedges and retries.
    extra_send_count: u32,
    /// The first sub-requests that are not done, with their last upstreams and their outcomes.
    unfinished: String,
    /// The upstream of the last attempt; empty unless there is exactly one sub-request.
    upstream: String,
}

impl RequestLog {
    /// Creates the log line of a request with this metadata.
    pub(super) fn new(metadata: &RequestMetadata) -> Self {
        Self {
            request_id: metadata.request_id.clone(),
            time_left: metadata.time_left,
            ..Self::default()
        }
    }

    /// Records how the request's sub-requests ended.
    pub(super) fn record_outcome(&mut self, outcome: &FanoutOutcome) {
        self.sub_request_count = outcome.sub_requests.len();
        self.extra_send_count = outcome.extra_send_count;
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

    /// Writes the line and updates the metrics of requests. `waited` is the time since the request arrived.
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
            extra = self.extra_send_count,
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
        counter!("anvilhub_extra_sends_total").increment(u64::from(self.extra_send_count));
        histogram!("anvilhub_request_seconds", "route" => route.to_owned())
            .record(waited.as_secs_f64());
    }
}
