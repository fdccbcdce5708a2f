use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::caller::HttpHandler;

use super::{Gateway, GatewayHandler, RelayHeaders, RelayOrders};

/// Answers requests that another instance relays to this one.
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

/// Builds the response to a relayed request that this instance declines before it sends anything to an upstream, and
/// counts it in the metrics.
pub(super) fn decline_relay(reason: &'static str) -> Response<Full<Bytes>> {
    metrics::counter!("anvilhub_relay_declines_total", "reason" => reason).increment(1);
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    RelayHeaders::write_declined(response.headers_mut(), reason);
    response
}

impl HttpHandler for RelayHandler {
    async fn handle(&self, mut request: Request<Incoming>) -> Response<Full<Bytes>> {
        let orders = RelayOrders::take(request.headers_mut());
        let Some(relay_headers) = RelayHeaders::take(request.headers_mut()) else {
            return decline_relay("incomplete head");
        };
        if self.gateway.is_draining() {
            return decline_relay("draining");
        }
        if self.gateway.reach.is_cut_off() {
            return decline_relay("cut off");
        }
        if self.gateway.ready_table().is_none() {
            return decline_relay("no configuration");
        }
        if !orders.are_known(&self.gateway.domains) {
            return decline_relay("unknown evacuation");
        }
        self.handler
            .answer_and_log(request, Some(relay_headers))
            .await
    }
}
