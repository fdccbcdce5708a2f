use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};

use super::{AnswerMetadata, RequestMetadata, SendMetadata};

/// Translates between the headers of a face and what the request path needs to know.
pub trait HeaderCodec: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Completes the head of a request to an upstream; `headers` are those of the caller.
    fn write_request(&self, headers: &mut HeaderMap, facts: &SendMetadata<'_>);

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMetadata;

    /// Writes the head of a gathered answer: the signatures of its parts and the number of missing shards.
    fn write_gathered(&self, headers: &mut HeaderMap, signatures: &[HeaderValue], missing: usize);
}
