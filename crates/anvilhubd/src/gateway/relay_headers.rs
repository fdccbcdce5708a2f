use std::time::Duration;

use anvilhub_coord::ids::SheetVersion;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// Version of the configuration that the relay must use for the whole answer.
const VERSION: HeaderName = HeaderName::from_static("x-relay-version");
/// Time since the caller's request arrived, in microseconds.
const WAITED: HeaderName = HeaderName::from_static("x-relay-waited-us");
/// Time that the caller had waited before its request arrived, in microseconds.
const WAITED_BEFORE: HeaderName = HeaderName::from_static("x-relay-waited-before-us");
/// Network latency to reserve between the instance that relayed the request and the caller, in microseconds.
const CALLER_LATENCY: HeaderName = HeaderName::from_static("x-relay-caller-way-us");
/// Number of upstreams that each sub-request may have reached already; absent if none.
const USED_ATTEMPTS: HeaderName = HeaderName::from_static("x-relay-used-attempts");
/// Present in the answer of a relay that declined the request: nothing was sent to any upstream. Holds the reason.
const DECLINED: HeaderName = HeaderName::from_static("x-relay-declined");

/// Maximum network latency that is reserved for the answer to the instance that relayed the request: two round trips
/// between failure domains. A request that took longer to arrive was delayed before it was relayed.
const MAX_RETURN_LATENCY: Duration = Duration::from_millis(6);

/// What an instance tells a relay about a request, in headers that it adds to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RelayHeaders {
    /// Version of the configuration that the relay must use for the whole answer.
    pub(super) version: SheetVersion,
    /// Time since the caller's request arrived.
    pub(super) waited: Duration,
    /// Time that the caller had waited before its request arrived.
    pub(super) waited_before: Duration,
    /// Network latency to reserve between the instance that relayed the request and the caller.
    pub(super) caller_latency: Duration,
    /// Number of upstreams that each sub-request may have reached before it was relayed.
    pub(super) used_attempts: u32,
}

impl RelayHeaders {
    /// Adds the relay headers to `headers`.
    pub(super) fn write(&self, headers: &mut HeaderMap) {
        headers.insert(VERSION, HeaderValue::from(self.version.get()));
        headers.insert(WAITED, micros_value(self.waited));
        headers.insert(WAITED_BEFORE, micros_value(self.waited_before));
        headers.insert(CALLER_LATENCY, micros_value(self.caller_latency));
        if self.used_attempts > 0 {
            headers.insert(USED_ATTEMPTS, HeaderValue::from(self.used_attempts));
        }
    }

    /// Returns the expected latency of the answer on its way to the instance that relayed the request: about that of
    /// the request.
    pub(super) fn return_latency(&self) -> Duration {
        self.waited.min(MAX_RETURN_LATENCY)
    }

    /// Removes the relay headers from `headers` and returns them; `None` if one is missing or malformed.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let mut take_number = |name| headers.remove(name)?.to_str().ok()?.parse::<u64>().ok();
        let (version, waited) = (take_number(VERSION), take_number(WAITED));
        let (waited_before, caller_latency) =
            (take_number(WAITED_BEFORE), take_number(CALLER_LATENCY));
        let used_attempts = take_number(USED_ATTEMPTS).unwrap_or_default();
        Some(Self {
            version: SheetVersion(version?),
            waited: Duration::from_micros(waited?),
            waited_before: Duration::from_micros(waited_before?),
            caller_latency: Duration::from_micros(caller_latency?),
            used_attempts: u32::try_from(used_attempts).unwrap_or(u32::MAX),
        })
    }

    /// Adds the header that marks an answer as declined: nothing was sent to any upstream.
    pub(super) fn write_declined(headers: &mut HeaderMap, reason: &'static str) {
        headers.insert(DECLINED, HeaderValue::from_static(reason));
    }

    /// Returns why the relay declined; `None` if it did not.
    pub(super) fn decline_reason(headers: &HeaderMap) -> Option<&str> {
        headers
            .get(DECLINED)
            .map(|reason| reason.to_str().unwrap_or("declined"))
    }
}

fn micros_value(time: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}
