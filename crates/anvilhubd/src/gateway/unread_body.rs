use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::caller::BodyError;

use super::gateway_handler::{error_response, not_run_response};

/// Expected time until memory is free again: clients that make no progress are disconnected sooner than that.
const MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why a request was refused while its body was read. Nothing has been sent to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum UnreadBody {
    /// The body is larger than the configuration allows.
    Oversized,
    /// The body did not arrive whole.
    Incomplete,
    /// The body did not arrive within the route's timeout.
    Late,
    /// There is no memory for the body.
    NoMemory,
    /// This instance stops before the body has arrived.
    Stopping,
}

impl UnreadBody {
    /// Returns the reason for the request's log line.
    pub(super) fn reason(&self) -> &'static str {
        match self {
            Self::NoMemory => "no_memory",
            _ => "unread_body",
        }
    }

    /// Builds the response. The rest of the body is not read, so the connection is closed. `time_left` is that of the
    /// caller.
    pub(super) fn to_response(&self, time_left: Duration) -> Response<Full<Bytes>> {
        let mut response = match self {
            Self::Oversized => error_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is larger than the configuration allows",
            ),
            Self::Incomplete => {
                error_response(StatusCode::BAD_REQUEST, "the body did not arrive whole")
            }
            Self::Late => error_response(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
            ),
            Self::Stopping => error_response(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive before this instance stops",
            ),
            Self::NoMemory => not_run_response(MEMORY_RETRY_DELAY, time_left),
        };
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        response
    }
}

impl From<BodyError> for UnreadBody {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Oversized => Self::Oversized,
            BodyError::Incomplete(_) => Self::Incomplete,
            BodyError::Late => Self::Late,
            BodyError::NoMemory => Self::NoMemory,
        }
    }
}
