use std::time::Duration;

use hyper::header::HeaderValue;

/// What a face reads from the head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Identifier of the request.
    pub id: Option<HeaderValue>,
    /// How long the caller waits for the answer.
    pub time_left: Option<Duration>,
}
