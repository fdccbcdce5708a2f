use super::number_id::number_id;

number_id! {
    /// Number of a ticket, unique within its owner's incarnation.
    TicketNumber, u64
}
