use std::sync::Arc;

use derive_more::Display;

use crate::ids::{InstanceId, PlatformRevision, SheetVersion};
use crate::sheet::{AcceptedSheet, SheetFault, SheetStamp};

use super::{FetchRequest, SheetAlarm};

/// An action that the caller of the acceptor must perform.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum SheetAction {
    /// Exchange state immediately with the peers that the gossip plan selects.
    #[display("announce")]
    Announce,
    /// Exchange state immediately with these peers.
    #[display("query {}", join_items(peers))]
    Query {
        /// Peers that have not answered yet.
        peers: Vec<InstanceId>,
    },
    /// Fetch a sheet from a peer.
    #[display("fetch {stamp} from {peer}")]
    Fetch {
        /// Peer to fetch from.
        peer: InstanceId,
        /// Stamp of the sheet that the peer announced.
        stamp: SheetStamp,
        /// Request to send.
        request: FetchRequest,
    },
    /// Serve requests according to this sheet from now on.
    #[display("put in force {}", _0.stamp())]
    PutInForce(Arc<AcceptedSheet>),
    /// Log that a sheet was refused; the last accepted one stays in force.
    #[display("refuse revision {revision}: {}", join_items(faults))]
    Refuse {
        /// Revision under which the platform served the sheet.
        revision: PlatformRevision,
        /// All faults, each with its place and remedy.
        faults: Vec<SheetFault>,
    },
    /// Log that the platform served an older sheet, which is ignored.
    #[display("ignore stale version {version} of revision {revision}")]
    IgnoreStale {
        /// Revision under which the platform served the sheet.
        revision: PlatformRevision,
        /// Version of the sheet.
        version: SheetVersion,
    },
    /// Log that a peer's reply to a fetch cannot be used.
    #[display("discard answer of {peer}: {reason}")]
    DiscardReply {
        /// Peer that replied.
        peer: InstanceId,
        /// Reason why the reply cannot be used.
        reason: String,
    },
    /// Raise an alarm.
    #[display("alarm: {_0}")]
    RaiseAlarm(SheetAlarm),
    /// End an alarm.
    #[display("alarm ended: {_0}")]
    ClearAlarm(SheetAlarm),
}

fn join_items<T: ToString>(items: &[T]) -> String {
    let items: Vec<String> = items.iter().map(ToString::to_string).collect();
    items.join(", ")
}
