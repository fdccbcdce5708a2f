use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Why a call to another instance has no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// Nothing listens at the address, so no process of the tier runs there.
    #[display("no process listens at {address}")]
    Absent { address: SocketAddr },
    /// The peer may be paused, cut off or gone.
    #[display("{address} does not answer: {reason}")]
    Silent { address: SocketAddr, reason: String },
    /// The peer answered with an error.
    #[display("{address} answered with an error: {reason}")]
    Failed { address: SocketAddr, reason: String },
}
