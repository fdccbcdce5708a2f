use std::sync::Arc;

use anvilhub_coord::configuration::{FetchRequest, SheetInput};
use anvilhub_coord::ids::InstanceId;
use anvilhub_coord::time::ClockTime;
use jsonrpsee::core::client::Client;
use log::debug;
use metrics::counter;
use tokio::runtime::Handle;

use crate::entry_context::EntryContext;
use crate::peer::{PeerApiClient, PeerError};

/// Exchanges state with peers, fetches sheets from them, and passes their answers and failures to the configuration
/// controller and the membership table.
#[derive(Clone)]
pub(crate) struct PeerExchange {
    context: Arc<EntryContext>,
    runtime: Handle,
}

impl PeerExchange {
    pub(crate) fn new(context: Arc<EntryContext>, runtime: Handle) -> Self {
        Self { context, runtime }
    }

    /// Starts an exchange with each of `peers`.
    pub(crate) fn start_exchanges(&self, peers: &[InstanceId]) {
        for peer in peers {
            let context = Arc::clone(&self.context);
            let peer = peer.clone();
            self.runtime
                .spawn(async move { exchange_state(&context, peer).await });
        }
    }

    /// Starts to fetch a sheet from `peer`. The result becomes an input of the configuration controller.
    pub(crate) fn start_fetch(&self, peer: InstanceId, request: FetchRequest) {
        let context = Arc::clone(&self.context);
        self.runtime
            .spawn(async move { fetch_sheet(&context, peer, request).await });
    }
}

async fn exchange_state(context: &EntryContext, peer: InstanceId) {
    let Some(address) = context.peer_address_of(&peer) else {
        return;
    };
    let message = context.exchange_message();
    let sent_at = context.clock.now();
    let call = |client: Arc<Client>| async move { client.exchange(message).await };
    match context
        .peers
        .call(address, context.settings.peer_timeout, call)
        .await
    {
        Ok(message) => context.record_peer_message(message, Some(sent_at)),
        Err(error) => record_failure(context, peer, sent_at, &error),
    }
}

async fn fetch_sheet(context: &EntryContext, peer: InstanceId, request: FetchRequest) {
    let input = match context.peer_address_of(&peer) {
        Some(address) => {
            let call = |client: Arc<Client>| async move { client.fetch_sheet(request).await };
            match context
                .peers
                .call(address, context.settings.peer_timeout, call)
                .await
            {
                Ok(Some(reply)) => SheetInput::FetchAnswered { peer, reply },
                Ok(None) | Err(_) => SheetInput::FetchFailed(peer),
            }
        }
        None => SheetInput::FetchFailed(peer),
    };
    context.configuration.queue_input(input);
}

fn record_failure(context: &EntryContext, peer: InstanceId, sent_at: ClockTime, error: &PeerError) {
    counter!("anvilhub_exchange_failures_total").increment(1);
    debug!(peer:% = peer; "exchange failed: {error}");
    let now = context.clock.now();
    match error {
        PeerError::Absent { .. } => {
            context.members().record_refusal(&peer, now);
            context
                .configuration
                .queue_input(SheetInput::PeerAbsent { peer, sent_at });
        }
        PeerError::Silent { .. } | PeerError::Failed { .. } => {
            context.members().record_timeout(&peer, now);
            context
                .configuration
                .queue_input(SheetInput::PeerSilent { peer, sent_at });
        }
    }
}
