use derive_more::{Display, Error};

/// Why a gateway cannot start.
#[derive(Debug, Display, Error)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[display(
        "cannot listen on {address} for {purpose}: {reason}; check that it is free and belongs to this instance"
    )]
    Listen {
        /// Address to listen on.
        address: std::net::SocketAddr,
        /// Purpose of the listener.
        purpose: &'static str,
        /// Error of the operating system.
        reason: String,
    },
    /// A component of the process cannot be started.
    #[display("cannot start {component}: {reason}; check the limits of the process")]
    Start {
        /// Part of the process that did not start, such as a thread or the logger.
        component: &'static str,
        /// Error of the operating system or the library.
        reason: String,
    },
}
