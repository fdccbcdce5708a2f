use derive_more::{Display, Error};

use crate::ids::{RequestId, SnapshotId};
use crate::keyspace::KeyRange;

use super::MissingReason;

/// Why a sub-answer is discarded.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum AnswerFault {
    /// The answer belongs to another sub-request.
    #[display(
        "answer to `{found}` came for `{asked}`; close the connection and check the upstream"
    )]
    OtherRequest {
        /// The sub-request that was sent on the connection.
        asked: RequestId,
        /// The sub-request that the answer names.
        found: RequestId,
    },
    /// The sub-request has been answered already.
    #[display("`{request}` was answered before; discard the copy")]
    Duplicate {
        /// The sub-request.
        request: RequestId,
    },
    /// The sub-request was given up or never registered.
    #[display("`{request}` is no longer awaited; discard the answer")]
    Late {
        /// The sub-request.
        request: RequestId,
    },
    /// The upstream searched another snapshot than the one asked for.
    #[display("answer is from snapshot {found} instead of {pinned}; choose again")]
    WrongSnapshot {
        /// Snapshot of the whole answer.
        pinned: SnapshotId,
        /// Snapshot of the sub-answer.
        found: SnapshotId,
    },
    /// The searched range is reversed or exceeds the asked range.
    #[display("answer claims {found} of the asked {asked}; check the upstream's range")]
    OutOfRange {
        /// Range of the sub-request.
        asked: KeyRange,
        /// Range that the answer claims to have searched.
        found: KeyRange,
    },
    /// The answer would exceed a bound of the whole answer.
    #[display("answer exceeds the bound of {limit} {unit}; narrow the query or raise the bound")]
    Oversized {
        /// The bound.
        limit: u64,
        /// What it counts: `rows` or `bytes`.
        unit: &'static str,
    },
}

impl AnswerFault {
    /// Says whether the connection that brought the answer can no longer be trusted.
    pub fn closes_connection(&self) -> bool {
        match self {
            Self::OtherRequest { .. } | Self::Duplicate { .. } | Self::OutOfRange { .. } => true,
            Self::Late { .. } | Self::WrongSnapshot { .. } | Self::Oversized { .. } => false,
        }
    }

    /// Why the asked range stays uncovered, when the fault ends its sub-request.
    pub(crate) fn missing_reason(&self) -> MissingReason {
        match self {
            Self::WrongSnapshot { .. } => MissingReason::SnapshotUnavailable,
            _ => MissingReason::BadAnswer,
        }
    }
}
