use derive_more::{Display, Error};

/// Reason why the ticket of a request cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum TicketParseError {
    /// The owner's address is not an IP address and a port.
    #[display("ticket address `{_0}` is not an IP address and port; send the ticket unchanged")]
    Address(#[error(not(source))] String),
    /// The named field is not a valid identifier.
    #[display("ticket field `{_0}` is not an identifier; send the ticket unchanged")]
    Identifier(#[error(not(source))] &'static str),
}
