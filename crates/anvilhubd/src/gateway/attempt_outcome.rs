use anvilhub_coord::gateway::{FailureKind, RejectionReason};
use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};

/// A complete, signed answer of an upstream to the request.
#[derive(Debug)]
pub(super) struct UpstreamAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) signature: HeaderValue,
    pub(super) body: Bytes,
}

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The upstream ran the request successfully.
    Answered(UpstreamAnswer),
    /// The upstream ran the request and answered with a failure status.
    FailedAtUpstream(UpstreamAnswer),
    /// The upstream received the request and did not run it.
    NotRun { status: StatusCode },
    /// The request was not sent, for this reason.
    NotSent { reason: String },
    /// The request was not sent, because it got no connection that could serve it before its deadline.
    Rejected { reason: RejectionReason },
    /// The request was not sent, because the run that it belongs to has ended.
    Withdrawn,
    /// The request was not sent, because the upstream was removed, is leaving or rests.
    Unsuitable,
    /// The request was sent and may have run: there is no usable answer, for this reason.
    Unknown { kind: FailureKind, reason: String },
}
