use std::time::Duration;

use anvilhub_coord::ids::SheetVersion;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// Version of the configuration of which all parts of the answer must come.
const VERSION: HeaderName = HeaderName::from_static("x-relay-version");
/// Time since the caller's request arrived, in microseconds.
const WAITED: HeaderName = HeaderName::from_static("x-relay-waited-us");
/// Time that the caller waited before this request, in microseconds.
const WAITED_BEFORE: HeaderName = HeaderName::from_static("x-relay-waited-before-us");
/// Time to keep for the way from the entry instance to the caller, in microseconds.
const CALLER_WAY: HeaderName = HeaderName::from_static("x-relay-caller-way-us");
/// In an answer: nothing was sent to any upstream.
const DECLINED: HeaderName = HeaderName::from_static("x-relay-declined");

/// Longest way back that is allowed for: two round trips between failure domains. A request that took longer was held
/// up before it was passed on.
const MOST_WAY_BACK: Duration = Duration::from_millis(6);

/// What an instance adds to a request that it passes on to a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RelayHeaders {
    pub(super) version: SheetVersion,
    /// Time since the caller's request arrived.
    pub(super) waited: Duration,
    /// Time that the caller waited before this request.
    pub(super) waited_before: Duration,
    /// Time to keep for the way from the entry instance to the caller.
    pub(super) caller_way: Duration,
}

impl RelayHeaders {
    pub(super) fn write(&self, headers: &mut HeaderMap) {
        headers.insert(VERSION, HeaderValue::from(self.version.get()));
        headers.insert(WAITED, micros(self.waited));
        headers.insert(WAITED_BEFORE, micros(self.waited_before));
        headers.insert(CALLER_WAY, micros(self.caller_way));
    }

    /// How long the answer takes to the entry instance: about as long as the request took.
    pub(super) fn way_back(&self) -> Duration {
        self.waited.min(MOST_WAY_BACK)
    }

    /// Takes the head out of `headers`; `None` when it is not complete.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let mut number = |name| headers.remove(name)?.to_str().ok()?.parse::<u64>().ok();
        let (version, waited) = (number(VERSION), number(WAITED));
        let (before, way) = (number(WAITED_BEFORE), number(CALLER_WAY));
        Some(Self {
            version: SheetVersion(version?),
            waited: Duration::from_micros(waited?),
            waited_before: Duration::from_micros(before?),
            caller_way: Duration::from_micros(way?),
        })
    }

    /// Marks an answer to a request of which nothing was sent.
    pub(super) fn decline(headers: &mut HeaderMap, reason: &'static str) {
        headers.insert(DECLINED, HeaderValue::from_static(reason));
    }

    /// Why the relay declined; `None` when it did not.
    pub(super) fn declined(headers: &HeaderMap) -> Option<&str> {
        headers
            .get(DECLINED)
            .map(|reason| reason.to_str().unwrap_or("declined"))
    }
}

fn micros(time: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}
