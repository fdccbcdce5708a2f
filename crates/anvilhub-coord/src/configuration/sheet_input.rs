use std::collections::BTreeSet;

use crate::ids::{InstanceId, PlatformRevision};
use crate::time::ClockTime;

use super::{ExchangeMessage, FetchReply};

/// What an acceptor observes.
#[derive(Clone, Debug)]
pub enum SheetInput {
    /// The platform answered a read or a watch.
    PlatformValue {
        /// When the read was sent.
        requested_at: ClockTime,
        /// Revision of the value.
        revision: PlatformRevision,
        /// The published document.
        bytes: Vec<u8>,
    },
    /// A read of the platform failed.
    PlatformUnreachable,
    /// The listed peers, without the instance itself.
    PeersListed(BTreeSet<InstanceId>),
    /// A peer sent its state.
    PeerMessage {
        /// The state.
        message: ExchangeMessage,
        /// When the exchange was sent that this message answers; none when the peer began the exchange.
        sent_at: Option<ClockTime>,
    },
    /// A peer's address refused a connection: it has no process.
    PeerAbsent(InstanceId),
    /// An exchange with a peer timed out.
    PeerSilent(InstanceId),
    /// A peer answered a fetch.
    FetchAnswered {
        /// The peer.
        peer: InstanceId,
        /// Its answer.
        reply: FetchReply,
    },
    /// A fetch failed, or the peer no longer holds the sheet.
    FetchFailed(InstanceId),
    /// The process resumed after a pause.
    Resumed,
    /// Time passed. Expected at least every 100 ms.
    Tick,
}
