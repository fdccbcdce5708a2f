use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Error of a call to another instance.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// The connection was refused, so no process of the tier runs at the address.
    #[display("no process listens at {address}")]
    Absent { address: SocketAddr },
    /// No answer arrived: the peer may be paused, partitioned or stopped.
    #[display("{address} does not answer: {reason}")]
    Silent { address: SocketAddr, reason: String },
    /// The peer answered with an error.
    #[display("{address} answered with an error: {reason}")]
    Failed { address: SocketAddr, reason: String },
}
