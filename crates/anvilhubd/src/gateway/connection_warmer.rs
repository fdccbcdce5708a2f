use std::sync::Arc;

use tokio::sync::Semaphore;

use super::{Gateway, TrackedUpstream};

/// Connections that are opened ahead of need at once, so that upstreams and this instance's own start are not
/// flooded.
const MOST_OPENING: usize = 8;

/// Opens a connection to each upstream ahead of need.
///
/// Opening one takes several round trips and a slot of the upstream; the first requests after a start, or to an
/// upstream that has just been found, would pay for it in every part.
pub(super) struct ConnectionWarmer {
    gateway: Arc<Gateway>,
    opening: Arc<Semaphore>,
}

impl ConnectionWarmer {
    pub(super) fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            opening: Arc::new(Semaphore::new(MOST_OPENING)),
        }
    }

    /// Starts opening the connections that are missing.
    pub(super) fn warm(&self) {
        let now = self.gateway.clock.now();
        let table = self.gateway.table.load();
        let Some(table) = table.as_ref() else {
            return;
        };
        let fleet = &self.gateway.fleet;
        for service in table.sent_services(|parts| fleet.choose_relay(parts).is_some()) {
            let groups = self.gateway.groups.load();
            let Some(group) = groups.get(service) else {
                continue;
            };
            for node in &group.nodes {
                node.shelf.with(|shelf| shelf.prune(now));
                if node.wants_warm_link(now) {
                    self.open(Arc::clone(node));
                }
            }
        }
    }

    fn open(&self, node: Arc<TrackedUpstream>) {
        let Ok(permit) = Arc::clone(&self.opening).try_acquire_owned() else {
            return;
        };
        let gateway = Arc::clone(&self.gateway);
        tokio::spawn(async move {
            let _permit = permit;
            let Ok(_connection) = node.connections.try_acquire() else {
                return;
            };
            let opened = node.open_link(gateway.settings.connect_timeout).await;
            let now = gateway.clock.now();
            match opened {
                Ok(connection) => node.shelf.with(|shelf| shelf.put(now, now, connection)),
                Err(_) => metrics::counter!("anvilhub_warm_failures_total").increment(1),
            }
        });
    }
}
