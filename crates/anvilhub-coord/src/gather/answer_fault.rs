use derive_more::{Display, Error};

use crate::ids::{RequestId, SnapshotId};
use crate::keyspace::KeyRange;

use super::MissingReason;

/// Why a sub-answer is discarded.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum AnswerFault {
    /// The answer belongs to another sub-request.
    #[display(
        "answer to `{found}` came for `{expected}`; close the connection and check the upstream"
    )]
    OtherRequest {
        /// The sub-request that was sent on the connection.
        expected: RequestId,
        /// The sub-request that the answer names.
        found: RequestId,
    },
    /// The sub-request has already been answered.
    #[display("`{request}` was answered before; discard the copy")]
    Duplicate {
        /// The sub-request.
        request: RequestId,
    },
    /// The sub-request was abandoned or never registered.
    #[display("`{request}` is no longer awaited; discard the answer")]
    Late {
        /// The sub-request.
        request: RequestId,
    },
    /// The upstream searched another snapshot than the requested one.
    #[display("answer is from snapshot {found} instead of {pinned}; choose the snapshot again")]
    WrongSnapshot {
        /// Snapshot that the whole answer comes from.
        pinned: SnapshotId,
        /// Snapshot that the sub-answer comes from.
        found: SnapshotId,
    },
    /// The searched range is reversed or exceeds the requested range.
    #[display("answer claims {found} of the requested {requested}; check the upstream's range")]
    OutOfRange {
        /// Range of the sub-request.
        requested: KeyRange,
        /// Range that the upstream claims to have searched.
        found: KeyRange,
    },
    /// The whole answer would exceed a limit.
    #[display("answer exceeds the bound of {limit} {unit}; narrow the query or raise the bound")]
    Oversized {
        /// The limit.
        limit: u64,
        /// Unit of the limit: `rows` or `bytes`.
        unit: &'static str,
    },
}

impl AnswerFault {
    /// Returns whether the connection that the answer arrived on can no longer be trusted and has to be closed.
    pub fn closes_connection(&self) -> bool {
        match self {
            Self::OtherRequest { .. } | Self::Duplicate { .. } | Self::OutOfRange { .. } => true,
            Self::Late { .. } | Self::WrongSnapshot { .. } | Self::Oversized { .. } => false,
        }
    }

    /// Returns why the requested range remains uncovered, if the fault ends its sub-request.
    pub(crate) fn missing_reason(&self) -> MissingReason {
        match self {
            Self::WrongSnapshot { .. } => MissingReason::SnapshotUnavailable,
            _ => MissingReason::BadAnswer,
        }
    }
}
