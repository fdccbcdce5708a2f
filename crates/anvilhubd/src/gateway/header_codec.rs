use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};

use super::{AnswerMetadata, RequestMetadata, SendMetadata};

/// Translates between the headers of a platform and the metadata that the request path needs.
pub trait HeaderCodec: Send + Sync + 'static {
    /// Reads the head of a caller's request. A missing or malformed header yields `None` for its field.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Adds `metadata` to the head of a request to an upstream; `headers` are those of the caller.
    fn write_request(&self, headers: &mut HeaderMap, metadata: &SendMetadata<'_>);

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMetadata;

    /// Writes the head of a gathered answer: the signatures of the shards' answers that it was merged from, and the
    /// number of shards whose answers are missing.
    fn write_gathered(
        &self,
        headers: &mut HeaderMap,
        signatures: &[HeaderValue],
        missing_count: usize,
    );
}
