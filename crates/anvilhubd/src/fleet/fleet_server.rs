use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::fleet::MemberGossip;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;

use crate::peer::serve_peers;

use super::{ExchangeAnswer, FleetApiServer, FleetState, FollowAnswer, FollowCall};

/// Longest wait of a call for news.
const MOST_WAIT: Duration = Duration::from_secs(2);

/// Answers other instances.
pub(crate) struct FleetServer {
    node: Arc<FleetState>,
}

impl FleetServer {
    pub(crate) fn new(node: Arc<FleetState>) -> Self {
        Self { node }
    }

    /// Listens on the peer address. The server stops when the handle is dropped.
    pub(crate) async fn start(self) -> std::io::Result<ServerHandle> {
        serve_peers(self.node.settings.peer_address, self.into_rpc()).await
    }
}

#[async_trait]
impl FleetApiServer for FleetServer {
    async fn exchange(&self, notes: Vec<MemberGossip>) -> Result<ExchangeAnswer, ErrorObjectOwned> {
        self.node.hear(notes);
        Ok(ExchangeAnswer {
            notes: self.node.notes(),
            has_news: self.node.has_news(),
        })
    }

    async fn follow(&self, call: FollowCall) -> Result<FollowAnswer, ErrorObjectOwned> {
        let wait = Duration::from_millis(call.wait_ms).min(MOST_WAIT);
        self.node.hear_member(call.own.clone());
        Ok(self.node.answer_follower(&call, wait).await)
    }

    async fn ping(&self) -> Result<(), ErrorObjectOwned> {
        Ok(())
    }
}
