use std::net::SocketAddr;

use anvilhub_coord::border::upstream::SubRefusal;
use anvilhub_coord::ids::ByteSize;
use derive_more::{Display, Error};

/// Error of a request to an upstream.
#[derive(Debug, Display, Error)]
pub(crate) enum PoolError {
    /// No connection could be opened, or it closed before the request was written. Nothing was sent.
    #[display("cannot connect to {address}: {reason}")]
    Unconnected { address: SocketAddr, reason: String },
    /// Nothing was sent, for a reason that does not count as a failure of the upstream.
    #[display("nothing was sent to {address}: {reason}")]
    Unsent { address: SocketAddr, reason: String },
    /// The upstream states that the sub-request did not run.
    #[display("the upstream refused the sub-request: {}", refusal.reason)]
    Refused {
        #[error(not(source))]
        refusal: SubRefusal,
    },
    /// The connection broke after the request may have been written.
    #[display("the connection to {address} broke: {reason}")]
    Broken { address: SocketAddr, reason: String },
    /// No answer arrived in time.
    #[display("{address} did not answer in time")]
    Timeout { address: SocketAddr },
    /// The answer is not a valid one for this sub-request.
    #[display("{address} sent an unusable answer: {reason}")]
    BadAnswer { address: SocketAddr, reason: String },
    /// The answer is larger than the limit.
    #[display("{address} sent an answer larger than {limit} bytes")]
    OversizedAnswer {
        address: SocketAddr,
        limit: ByteSize,
    },
    /// The answers that this process is reading take up all the memory that it has for them.
    #[display("the answer of {address} was broken off: too many large answers arrive at once")]
    ExhaustedBuffer { address: SocketAddr },
}
