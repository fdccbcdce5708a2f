use std::sync::Arc;

use anvilhub_coord::border::query::{QueryAnswer, TicketEntry};
use anvilhub_coord::configuration::{ExchangeMessage, FetchReply, FetchRequest};
use anvilhub_coord::ticket::RequestOrigin;
use eyre::{Result, WrapErr};
use jsonrpsee::core::async_trait;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;

use crate::caller::QueryHandler;
use crate::entry_context::EntryContext;
use crate::fanout;

use super::{BatchAnswer, BatchMessage, ForwardMessage, IssueMessage, PeerApiServer, serve_peers};

/// JSON-RPC error code of a refused request.
const REFUSED_CODE: i32 = 1;

/// JSON-RPC server for other instances.
pub(crate) struct PeerServer {
    context: Arc<EntryContext>,
    handler: Arc<QueryHandler>,
}

impl PeerServer {
    pub(crate) fn new(context: Arc<EntryContext>, handler: Arc<QueryHandler>) -> Self {
        Self { context, handler }
    }

    /// Listens on the peer address. The server stops when the handle is dropped.
    pub(crate) async fn start(self) -> Result<ServerHandle> {
        let address = self.context.settings.peer_bind_address;
        serve_peers(address, self.into_rpc())
            .await
            .wrap_err_with(|| {
                format!(
                    "cannot listen on peer_bind_address {address}; check that it is free and belongs to this instance"
                )
            })
    }
}

#[async_trait]
impl PeerApiServer for PeerServer {
    async fn exchange(
        &self,
        message: ExchangeMessage,
    ) -> Result<ExchangeMessage, ErrorObjectOwned> {
        self.context.record_peer_message(message, None);
        Ok(self.context.exchange_message())
    }

    async fn fetch_sheet(
        &self,
        request: FetchRequest,
    ) -> Result<Option<FetchReply>, ErrorObjectOwned> {
        Ok(self.context.configuration.serve_fetch(&request))
    }

    async fn forward(&self, message: ForwardMessage) -> Result<QueryAnswer, ErrorObjectOwned> {
        let _guard = self.context.begin_request();
        Ok(self
            .handler
            .answer_query(message.query, RequestOrigin::Peer)
            .await
            .1)
    }

    async fn issue_ticket(&self, message: IssueMessage) -> Result<TicketEntry, ErrorObjectOwned> {
        let now = self.context.clock.now();
        self.context
            .tickets
            .issue(&message.service, &message.caller, now)
            .map_err(|refusal| {
                ErrorObjectOwned::owned(REFUSED_CODE, refusal.to_string(), None::<()>)
            })
    }

    async fn run_batch(&self, batch: BatchMessage) -> Result<BatchAnswer, ErrorObjectOwned> {
        let _guard = self.context.begin_request();
        Ok(fanout::run_batch(&self.context, batch).await)
    }

    async fn ping(&self) -> Result<(), ErrorObjectOwned> {
        Ok(())
    }
}
