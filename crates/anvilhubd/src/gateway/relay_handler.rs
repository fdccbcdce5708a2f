use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::caller::CallerHandler;

use super::{Gateway, GatewayHandler, RelayHeaders};

/// Answers requests that another instance passes on.
pub(super) struct RelayHandler {
    gateway: Arc<Gateway>,
    handler: GatewayHandler,
}

impl RelayHandler {
    pub(super) fn new(gateway: Arc<Gateway>) -> Self {
        let handler = GatewayHandler::new(Arc::clone(&gateway));
        Self { gateway, handler }
    }
}

/// The answer to a request of which nothing was sent.
pub(super) fn declined(reason: &'static str) -> Response<Full<Bytes>> {
    metrics::counter!("anvilhub_relay_declines_total", "reason" => reason).increment(1);
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    RelayHeaders::decline(response.headers_mut(), reason);
    response
}

impl CallerHandler for RelayHandler {
    async fn handle(&self, mut request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(head) = RelayHeaders::take(request.headers_mut()) else {
            return declined("incomplete head");
        };
        if self.gateway.is_draining() {
            return declined("draining");
        }
        if self.gateway.known_table().is_none() {
            return declined("no configuration");
        }
        self.handler.answer_and_log(request, Some(head)).await
    }
}
