use crate::filters::RequestError;

/// The member of a query that holds its ticket.
const TICKET_MEMBER: &[u8] = b"\"ticket\"";

/// A message of a caller that could not be read as a query.
pub(super) struct UnreadQuery {
    pub(super) error: RequestError,
    /// Whether it may be the resend of a request that has run: "not run" would be false then.
    pub(super) may_hold_ticket: bool,
}

impl UnreadQuery {
    /// A message that is no query at all.
    pub(super) fn without_ticket(error: RequestError) -> Self {
        Self {
            error,
            may_hold_ticket: false,
        }
    }

    /// A message whose body did not arrive whole.
    pub(super) fn without_body(error: RequestError) -> Self {
        Self {
            error,
            may_hold_ticket: true,
        }
    }

    /// A message whose body is not the expected document.
    pub(super) fn of_body(error: &serde_json::Error, body: &[u8]) -> Self {
        let mut parts = body.windows(TICKET_MEMBER.len());
        Self {
            error: RequestError::MalformedBody {
                reason: error.to_string(),
            },
            may_hold_ticket: parts.any(|part| part == TICKET_MEMBER),
        }
    }
}
