use std::time::Duration;

use anvilhub_coord::ids::UpstreamId;

/// What a face writes into the head of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SendMetadata<'a> {
    /// The only upstream that may run the request.
    pub upstream: &'a UpstreamId,
    /// How long the answer is of use.
    pub time_left: Duration,
}
