use derive_more::{Display, Error};

/// Why a gateway cannot run.
#[derive(Debug, Display, Error)]
pub enum GatewayError {
    /// A listening address cannot be used.
    #[display(
        "cannot listen on {address} for {purpose}: {reason}; check that it is free and belongs to this instance"
    )]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// What the operating system says.
        reason: String,
    },
    /// A part of the process cannot be started.
    #[display("cannot start {part}: {reason}; check the limits of the process")]
    Start {
        /// The part.
        part: &'static str,
        /// What the operating system or the library says.
        reason: String,
    },
}
