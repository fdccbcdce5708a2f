use anvilhub_coord::border::query::MissingReason;
use anvilhub_coord::border::upstream::{SubAnswer, SubRequest};
use anvilhub_coord::ids::{InstanceId, ShardName, SnapshotId};
use anvilhub_coord::sheet::UrgencyClass;
use serde::{Deserialize, Serialize};

/// Sub-requests of one request for shards that the called instance owns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct BatchMessage {
    /// The instance that gathers the answers.
    pub(crate) from: InstanceId,
    pub(crate) items: Vec<BatchItem>,
}

/// One sub-request for the owner of its shard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct BatchItem {
    pub(crate) shard: ShardName,
    pub(crate) urgency: UrgencyClass,
    pub(crate) request: SubRequest,
}

/// The answers of a batch, in the order of its items.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct BatchAnswer {
    pub(crate) outcomes: Vec<BatchOutcome>,
}

/// The outcome of one sub-request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum BatchOutcome {
    Answered(SubAnswer),
    Missing {
        reason: MissingReason,
        /// Snapshots that the upstream holds, when it refused because it lacks the requested one.
        held: Vec<SnapshotId>,
        /// Whether certainly no attempt was run. Owners of an older version do not send this field.
        #[serde(default)]
        not_run: bool,
    },
}
