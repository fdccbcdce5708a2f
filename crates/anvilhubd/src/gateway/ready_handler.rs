use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::caller::HttpHandler;

use super::Gateway;

/// Answers the load balancer's checks whether this instance accepts new connections.
pub(super) struct ReadyHandler {
    pub(super) gateway: Arc<Gateway>,
}

impl HttpHandler for ReadyHandler {
    async fn handle(&self, _request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if !self.gateway.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}
