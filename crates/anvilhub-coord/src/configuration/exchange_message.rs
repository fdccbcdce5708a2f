use serde::{Deserialize, Serialize};

use crate::crash::CrashNote;
use crate::ids::UpstreamId;
use crate::sheet::SheetStamp;

use super::{PeerIdentity, PeerStage};

/// State that two instances exchange. The request and the reply have the same form.
///
/// Unknown fields are ignored, so that instances with different program versions can communicate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeMessage {
    /// Identity of the sender.
    #[serde(flatten)]
    pub sender: PeerIdentity,
    /// Life-cycle stage of the sender.
    pub stage: PeerStage,
    /// Sheet that the sender has in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<SheetStamp>,
    /// Sheet that the sender is about to accept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub candidate: Option<SheetStamp>,
    /// Upstreams that announced directly to the sender that they are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub draining: Vec<UpstreamId>,
    /// Upstreams that are leaving by a health or load report that the sender received, which can be false.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reported_draining: Vec<UpstreamId>,
    /// Requests that crashed upstreams, as far as the sender knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashNote>,
}
