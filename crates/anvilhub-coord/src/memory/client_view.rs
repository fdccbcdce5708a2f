use derive_more::Display;

use crate::ids::ByteSize;
use crate::time::ClockTime;

/// What the connection of a client is in the middle of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum ClientPhase {
    /// Between two requests, or before the first one.
    #[display("idle")]
    Idle,
    /// Part of the head of a request has arrived.
    #[display("head")]
    Head,
    /// The body of a request is being read. Nothing has been sent to an upstream.
    #[display("body")]
    Body,
    /// A whole request is being served.
    #[display("served")]
    Served,
    /// An answer is being sent to the client.
    #[display("answer")]
    Answer,
}

/// What is known of a client's connection when memory or connections run out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientView {
    /// Number of the connection, unique within the process.
    pub number: u64,
    /// What the connection is in the middle of.
    pub phase: ClientPhase,
    /// Memory that the ledger holds for the connection.
    pub held: ByteSize,
    /// When the client last sent a byte or took one.
    pub progress_at: ClockTime,
    /// Whether an answer waits because the client does not take it.
    pub is_blocked: bool,
}
