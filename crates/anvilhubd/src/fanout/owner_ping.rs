use std::net::SocketAddr;
use std::sync::Arc;

use crate::context::EntryContext;
use crate::peer::PeerApiClient;

/// Pings an owner if its silence calls for it; the answer ends a bypass.
pub(super) fn ping_owner(context: &Arc<EntryContext>, owner: SocketAddr) {
    let now = context.clock.now();
    if !context.owners.begin_ping(owner, now) {
        return;
    }
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let patience = context.settings.peer_timeout;
        let ping = context
            .peers
            .call(owner, patience, |client| async move { client.ping().await });
        let answered = ping.await.is_ok();
        context.owners.end_ping(owner);
        if answered {
            let now = context.clock.now();
            context
                .owners
                .update(owner, |health| health.record_message(now, false));
        }
    });
}
