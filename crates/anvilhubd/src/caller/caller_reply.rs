use anvilhub_coord::border::query::QueryAnswer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode, header};

/// An answer with its HTTP status.
pub(crate) struct CallerReply {
    pub(crate) status: StatusCode,
    /// Whole seconds after which another try may be admitted.
    pub(crate) retry_after: Option<u64>,
    pub(crate) answer: QueryAnswer,
}

impl CallerReply {
    pub(crate) fn into_response(self) -> Response<Full<Bytes>> {
        let body = serde_json::to_vec(&self.answer).expect("border types serialize to JSON");
        let mut response = Response::builder()
            .status(self.status)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("a constant response head is valid");
        if let Some(seconds) = self.retry_after {
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, seconds.into());
        }
        response
    }
}
