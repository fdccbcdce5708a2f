use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};

/// Answers HTTP requests. A failure is answered with a response too.
pub(crate) trait HttpHandler: Send + Sync + 'static {
    /// Handles one request and returns its response.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;
}
