use crate::filters::RequestError;

/// The quoted JSON key of a query's ticket.
const TICKET_KEY: &[u8] = b"\"ticket\"";

/// A caller's HTTP request that could not be read as a query.
pub(super) struct UnreadableQuery {
    pub(super) error: RequestError,
    /// Whether the request may contain a ticket. A request with a ticket may repeat one that has run, for which the
    /// outcome "not run" would be wrong.
    pub(super) may_hold_ticket: bool,
}

impl UnreadableQuery {
    /// Describes an HTTP request that is not addressed to the query endpoint.
    pub(super) fn unknown_path(error: RequestError) -> Self {
        Self {
            error,
            may_hold_ticket: false,
        }
    }

    /// Describes an HTTP request whose body did not arrive completely.
    pub(super) fn incomplete_body(error: RequestError) -> Self {
        Self {
            error,
            may_hold_ticket: true,
        }
    }

    /// Describes an HTTP request whose body is not the expected JSON document.
    pub(super) fn malformed_body(error: &serde_json::Error, body: &[u8]) -> Self {
        let mut windows = body.windows(TICKET_KEY.len());
        Self {
            error: RequestError::MalformedBody {
                reason: error.to_string(),
            },
            may_hold_ticket: windows.any(|window| window == TICKET_KEY),
        }
    }
}
