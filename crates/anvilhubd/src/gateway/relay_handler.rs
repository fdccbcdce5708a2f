use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::caller::CallerHandler;

use super::{Gateway, GatewayHandler, RelayHead};

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

    /// Why nothing can be sent for a request with this head.
    fn obstacle(&self, head: Option<RelayHead>) -> Option<&'static str> {
        let Some(head) = head else {
            return Some("incomplete head");
        };
        if self.gateway.is_draining() {
            return Some("draining");
        }
        let table = self.gateway.known_table();
        let version = table.map(|table| table.catalog.version);
        (version != Some(head.version)).then_some("another version")
    }
}

impl CallerHandler for RelayHandler {
    async fn handle(&self, mut request: Request<Incoming>) -> Response<Full<Bytes>> {
        let head = RelayHead::take(request.headers_mut());
        if let Some(reason) = self.obstacle(head) {
            metrics::counter!("anvilhub_relay_declines_total", "reason" => reason).increment(1);
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            RelayHead::decline(response.headers_mut(), reason);
            return response;
        }
        self.handler.answer_passed_on(request, head).await
    }
}
