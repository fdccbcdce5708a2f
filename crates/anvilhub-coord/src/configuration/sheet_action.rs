use std::sync::Arc;

use derive_more::Display;

use crate::ids::{InstanceId, PlatformRevision, SheetVersion};
use crate::sheet::{AcceptedSheet, SheetFault, SheetStamp};

use super::{FetchRequest, SheetAlarm};

/// What an acceptor asks its surroundings to do.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum SheetAction {
    /// Exchange state with the peers that the gossip plan names, at once.
    #[display("announce")]
    Announce,
    /// Exchange state with these peers, at once.
    #[display("query {}", list(peers))]
    Query {
        /// Peers that have not answered yet.
        peers: Vec<InstanceId>,
    },
    /// Fetch a sheet from a peer.
    #[display("fetch {stamp} from {peer}")]
    Fetch {
        /// The peer.
        peer: InstanceId,
        /// The sheet that the peer announced.
        stamp: SheetStamp,
        /// The request to send.
        request: FetchRequest,
    },
    /// Serve by this sheet from now on.
    #[display("put in force {}", _0.stamp())]
    PutInForce(Arc<AcceptedSheet>),
    /// Log that a sheet was refused; the last accepted one stays in force.
    #[display("refuse revision {revision}: {}", list(faults))]
    Refuse {
        /// Revision under which the platform served it.
        revision: PlatformRevision,
        /// Every fault with its place and remedy.
        faults: Vec<SheetFault>,
    },
    /// Log that the platform served an older sheet, which is ignored.
    #[display("ignore stale version {version} of revision {revision}")]
    IgnoreStale {
        /// Revision under which the platform served it.
        revision: PlatformRevision,
        /// Its version.
        version: SheetVersion,
    },
    /// Log that a peer's answer to a fetch cannot be used.
    #[display("discard answer of {peer}: {reason}")]
    DiscardReply {
        /// The peer.
        peer: InstanceId,
        /// Why.
        reason: String,
    },
    /// Raise an alarm.
    #[display("alarm: {_0}")]
    RaiseAlarm(SheetAlarm),
    /// End an alarm.
    #[display("alarm ended: {_0}")]
    ClearAlarm(SheetAlarm),
}

fn list<T: ToString>(items: &[T]) -> String {
    let items: Vec<String> = items.iter().map(ToString::to_string).collect();
    items.join(", ")
}
