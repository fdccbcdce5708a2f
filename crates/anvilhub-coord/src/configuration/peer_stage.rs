use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Life-cycle stage of an instance, as it tells its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerStage {
    /// It is learning the sheet in force and is not ready.
    #[display("learning")]
    Learning,
    /// It was paused and no peer has confirmed its sheet since.
    #[display("unconfirmed")]
    Unconfirmed,
    /// It is ready.
    #[display("ready")]
    Ready,
    /// It is stopping.
    #[display("draining")]
    Draining,
}
