use super::whole_number::whole_number;

whole_number! {
    /// Number of a ticket, unique within its owner's incarnation.
    TicketNumber, u64
}
