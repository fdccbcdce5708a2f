use std::net::SocketAddr;
use std::sync::Arc;

use crate::entry_context::EntryContext;
use crate::peer::PeerApiClient;

/// Pings an owner if a ping is due because of its silence. An answer ends the bypass of the owner.
pub(super) fn ping_owner(context: &Arc<EntryContext>, owner: SocketAddr) {
    let now = context.clock.now();
    if !context.owners.begin_ping(owner, now) {
        return;
    }
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let timeout = context.settings.peer_timeout;
        let ping = context
            .peers
            .call(owner, timeout, |client| async move { client.ping().await });
        let is_answered = ping.await.is_ok();
        context.owners.end_ping(owner);
        if is_answered {
            let now = context.clock.now();
            context
                .owners
                .update(owner, |health| health.record_message(now, false));
        }
    });
}
