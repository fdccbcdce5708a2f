use std::time::Duration;

use hyper::header::HeaderValue;

/// What a [`HeaderCodec`](super::HeaderCodec) reads from the head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Identifier that the caller gave the request; `None` if it gave none.
    pub request_id: Option<HeaderValue>,
    /// How much longer the caller waits for the answer; `None` if it does not state that.
    pub time_left: Option<Duration>,
}
