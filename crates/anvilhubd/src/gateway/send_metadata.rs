use std::time::Duration;

use anvilhub_coord::ids::UpstreamId;

/// What a [`HeaderCodec`](super::HeaderCodec) writes into the head of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SendMetadata<'a> {
    /// The only upstream that may run the request.
    pub upstream: &'a UpstreamId,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
}
