use std::collections::BTreeSet;

use crate::ids::{InstanceId, PlatformRevision};
use crate::time::ClockTime;

use super::{ExchangeMessage, FetchReply};

/// An event that the acceptor handles.
#[derive(Clone, Debug)]
pub enum SheetInput {
    /// The platform answered a read or a watch.
    PlatformValue {
        /// Time at which the read was sent.
        requested_at: ClockTime,
        /// Revision of the value.
        revision: PlatformRevision,
        /// Bytes of the published document.
        bytes: Vec<u8>,
    },
    /// A read of the platform failed.
    PlatformUnreachable,
    /// A list of peers was read. The instance itself is ignored if the list contains it.
    PeersListed(BTreeSet<InstanceId>),
    /// A peer sent its state.
    PeerMessage {
        /// State of the peer.
        message: ExchangeMessage,
        /// Time at which the exchange was sent that this message answers, or `None` if the peer started the exchange.
        sent_at: Option<ClockTime>,
    },
    /// A peer's address refused a connection, so no process of the peer is running.
    PeerAbsent {
        /// Peer that was called.
        peer: InstanceId,
        /// Time at which the exchange was sent.
        sent_at: ClockTime,
    },
    /// An exchange with a peer timed out.
    PeerSilent {
        /// Peer that was called.
        peer: InstanceId,
        /// Time at which the exchange was sent.
        sent_at: ClockTime,
    },
    /// A peer answered a fetch.
    FetchAnswered {
        /// Peer that answered.
        peer: InstanceId,
        /// Answer of the peer.
        reply: FetchReply,
    },
    /// A fetch failed, or the peer no longer holds the sheet.
    FetchFailed(InstanceId),
    /// The process resumed after a pause.
    Resumed,
    /// Time has passed. Expected at least every 100 ms.
    Tick,
}
