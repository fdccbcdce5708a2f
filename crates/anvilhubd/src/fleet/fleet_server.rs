use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::crash::CrashNote;
use anvilhub_coord::fleet::MemberGossip;
use anvilhub_coord::limit::LimitNote;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;

use crate::peer::serve_peers;

use super::{ExchangeAnswer, FleetApiServer, FleetState, FollowAnswer, FollowCall};

/// Maximum time for which a follower's call waits for changes, whatever the call asks for.
const MAX_FOLLOW_WAIT: Duration = Duration::from_secs(2);

/// Answers the calls of other instances.
pub(crate) struct FleetServer {
    state: Arc<FleetState>,
}

impl FleetServer {
    pub(crate) fn new(state: Arc<FleetState>) -> Self {
        Self { state }
    }

    /// Listens on the peer address. The server stops when the handle is dropped.
    pub(crate) async fn start(self) -> std::io::Result<ServerHandle> {
        serve_peers(self.state.settings.peer_address, self.into_rpc()).await
    }
}

#[async_trait]
impl FleetApiServer for FleetServer {
    async fn exchange(
        &self,
        members: Vec<MemberGossip>,
        limits: Option<Vec<LimitNote>>,
        crashes: Option<Vec<CrashNote>>,
    ) -> Result<ExchangeAnswer, ErrorObjectOwned> {
        self.state.record_gossip(members);
        self.state.limits.record_notes(&limits.unwrap_or_default());
        self.state
            .crashes
            .record_notes(&crashes.unwrap_or_default());
        Ok(ExchangeAnswer {
            members: self.state.collect_gossip(),
            is_feed_current: self.state.is_feed_current(),
            limits: self.state.limits.collect_notes(),
            crashes: self.state.crashes.collect_notes(),
        })
    }

    async fn follow(&self, call: FollowCall) -> Result<FollowAnswer, ErrorObjectOwned> {
        let wait = Duration::from_millis(call.wait_ms).min(MAX_FOLLOW_WAIT);
        self.state.record_contact(call.sender.clone());
        self.state.limits.record_notes(&call.limits);
        self.state.crashes.record_notes(&call.crashes);
        Ok(self.state.answer_follower(&call, wait).await)
    }

    async fn ping(&self) -> Result<(), ErrorObjectOwned> {
        Ok(())
    }
}
