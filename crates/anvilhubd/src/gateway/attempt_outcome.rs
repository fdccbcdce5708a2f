use anvilhub_coord::gateway::{FailureKind, RejectionReason};
use anvilhub_coord::ids::ByteSize;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};

use super::forwarded_request::headers_len;

/// A complete, signed answer of an upstream to the request.
#[derive(Debug)]
pub(super) struct UpstreamAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) signature: HeaderValue,
    pub(super) body: Bytes,
}

impl UpstreamAnswer {
    /// Returns the approximate size of the answer on the network.
    pub(super) fn size(&self) -> ByteSize {
        ByteSize((headers_len(&self.headers) + self.body.len()) as u64)
    }
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
    /// The request was not sent, because the upstream was removed, is leaving, rests, is cold or is evacuated.
    Unsuitable,
    /// The upstream has crashed while it held the request, which may have run.
    Crashed { reason: String },
    /// The request was sent and may have run: there is no usable answer, for this reason.
    Unknown { kind: FailureKind, reason: String },
}

impl AttemptOutcome {
    /// Returns whether the upstream got no request: it was not sent, or another upstream answers at the address.
    pub(super) fn has_missed_upstream(&self) -> bool {
        match self {
            Self::NotSent { .. } | Self::Withdrawn | Self::Rejected { .. } | Self::Unsuitable => {
                true
            }
            Self::NotRun { status } => *status == StatusCode::MISDIRECTED_REQUEST,
            Self::Answered(_)
            | Self::FailedAtUpstream(_)
            | Self::Crashed { .. }
            | Self::Unknown { .. } => false,
        }
    }
}
