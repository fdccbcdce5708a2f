use anvilhub_coord::ids::SnapshotId;
use serde::{Deserialize, Serialize};

use super::AnswerFault;

/// An action on a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case", deny_unknown_fields)]
pub enum ReplicaAction {
    /// Adds a snapshot; the lowest ones above the number that is held are dropped.
    PublishSnapshot {
        /// The new snapshot.
        snapshot: SnapshotId,
    },
    /// Stops holding a snapshot.
    DropSnapshot {
        /// The snapshot to drop.
        snapshot: SnapshotId,
    },
    /// Drops every snapshot above `snapshot` and holds it.
    RollBack {
        /// The snapshot to go back to.
        snapshot: SnapshotId,
    },
    /// Refuses sub-requests with `cold` for a time.
    Cold {
        /// The time in milliseconds.
        ms: u64,
    },
    /// Answers with `draining: true`, then refuses with `draining`, then closes.
    Drain {
        /// Time of the first phase in milliseconds.
        announce_ms: u64,
        /// Time of the second phase in milliseconds.
        refuse_ms: u64,
    },
    /// Stops draining and listens again.
    StopDrain,
    /// Existing connections never answer again, while new ones work.
    SilenceExisting {
        /// Whether their sub-requests run.
        #[serde(default)]
        mode: SilenceMode,
    },
    /// Stops listening, drops connections and loses the work in progress.
    Kill,
    /// Listens again after `kill` or the end of a drain.
    Revive,
    /// Accepts connections and requests, and answers nothing.
    Freeze,
    /// Goes on after `freeze`.
    Thaw,
    /// Adds a fault of the next answers.
    Fault(AnswerFault),
    /// Removes the faults that did not happen yet.
    ClearFaults,
}

/// What is lost on a silent connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SilenceMode {
    /// The request does not arrive, and does not run.
    #[default]
    LoseRequest,
    /// The request runs and its answer does not arrive.
    LoseAnswer,
}
