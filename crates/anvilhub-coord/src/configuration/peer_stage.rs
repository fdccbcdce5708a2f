use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Life-cycle stage of an instance, as it sends it to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerStage {
    /// The instance is learning the sheet in force from its peers and is not ready.
    #[display("learning")]
    Learning,
    /// The instance was paused and its sheet has not been confirmed since.
    #[display("unconfirmed")]
    Unconfirmed,
    /// The instance is ready.
    #[display("ready")]
    Ready,
    /// The instance is stopping.
    #[display("draining")]
    Draining,
}
