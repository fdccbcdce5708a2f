use std::time::Duration;

use anvilhub_coord::ids::UpstreamId;

/// What a [`HeaderCodec`](super::HeaderCodec) writes into the head of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SendMetadata<'a> {
    /// The only upstream that may run the request.
    pub upstream: &'a UpstreamId,
    /// How much longer the answer is useful.
    pub time_left: Duration,
}
