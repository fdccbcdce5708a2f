use anvilhub_coord::ids::SnapshotId;
use serde::{Deserialize, Serialize};

use super::InjectedFault;

/// An action to apply to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case", deny_unknown_fields)]
pub enum ReplicaAction {
    /// Adds a snapshot. If the replica then holds more than its `hold` setting allows, the lowest are dropped.
    PublishSnapshot {
        /// The new snapshot.
        snapshot: SnapshotId,
    },
    /// Drops a snapshot.
    DropSnapshot {
        /// The snapshot to drop.
        snapshot: SnapshotId,
    },
    /// Drops every snapshot above `snapshot` and adds that one if it is not held.
    RollBack {
        /// The snapshot to roll back to.
        snapshot: SnapshotId,
    },
    /// Refuses sub-requests with reason `cold` for the given time.
    Cold {
        /// Duration in milliseconds.
        ms: u64,
    },
    /// Drains the replica: it answers with `draining: true`, then refuses with reason `draining`, then closes.
    Drain {
        /// Duration of the first phase in milliseconds.
        announce_ms: u64,
        /// Duration of the second phase in milliseconds.
        refuse_ms: u64,
    },
    /// Stops draining and listens again.
    StopDrain,
    /// Existing connections never answer again; new connections work normally.
    SilenceExisting {
        /// Whether the sub-requests on those connections run.
        #[serde(default)]
        mode: SilenceMode,
    },
    /// Stops listening, drops all connections and loses the running work.
    Kill,
    /// Listens again after `kill` or the end of a drain.
    Revive,
    /// Accepts connections and requests but holds back all answers.
    Freeze,
    /// Ends a `freeze`.
    Thaw,
    /// Adds a fault to the queue of faults for the next answers.
    Fault(InjectedFault),
    /// Removes all faults that have not been injected yet.
    ClearFaults,
}

/// What a silent connection loses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SilenceMode {
    /// The request is lost and does not run.
    #[default]
    LoseRequest,
    /// The request runs and its answer is lost.
    LoseAnswer,
}
