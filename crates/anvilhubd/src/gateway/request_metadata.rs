use std::time::Duration;

use hyper::header::HeaderValue;

/// What a [`HeaderCodec`](super::HeaderCodec) reads from the head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Identifier of the request.
    pub id: Option<HeaderValue>,
    /// How much longer the caller waits for the answer.
    pub time_left: Option<Duration>,
}
