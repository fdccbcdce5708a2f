use std::sync::Arc;

use tokio::sync::Semaphore;

use super::{Gateway, TrackedUpstream};

/// Maximum number of connections that are opened in advance at once, so that neither the upstreams nor this instance's
/// own start are flooded.
const MAX_OPENING: usize = 8;

/// Opens a connection to each upstream before a request needs it.
///
/// Opening a connection takes several round trips and a slot of the upstream. Otherwise each sub-request of the first
/// requests after a start, or to an upstream that was just found, would pay for it.
pub(super) struct ConnectionWarmer {
    gateway: Arc<Gateway>,
    opening_permits: Arc<Semaphore>,
}

impl ConnectionWarmer {
    pub(super) fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            opening_permits: Arc::new(Semaphore::new(MAX_OPENING)),
        }
    }

    /// Starts opening the connections that are missing.
    pub(super) fn open_missing(&self) {
        let now = self.gateway.clock.now();
        let table = self.gateway.table.load();
        let Some(table) = table.as_ref() else {
            return;
        };
        let fleet = &self.gateway.fleet;
        for service in table.contacted_services(|shards| fleet.choose_relay(shards).is_some()) {
            let groups = self.gateway.groups.load();
            let Some(group) = groups.get(service) else {
                continue;
            };
            for upstream in &group.upstreams {
                upstream
                    .idle_connections
                    .with(|idle_connections| idle_connections.prune(now));
                if upstream.needs_connection(now) {
                    self.open(Arc::clone(upstream));
                }
            }
        }
    }

    fn open(&self, upstream: Arc<TrackedUpstream>) {
        let Ok(permit) = Arc::clone(&self.opening_permits).try_acquire_owned() else {
            return;
        };
        let gateway = Arc::clone(&self.gateway);
        tokio::spawn(async move {
            let _permit = permit;
            let Ok(_connection_permit) = upstream.connection_permits.try_acquire() else {
                return;
            };
            let opened = upstream
                .open_connection(gateway.settings.connect_timeout)
                .await;
            let now = gateway.clock.now();
            match opened {
                Ok(connection) => upstream
                    .idle_connections
                    .with(|idle_connections| idle_connections.put(now, now, connection)),
                Err(_) => metrics::counter!("anvilhub_warm_failures_total").increment(1),
            }
        });
    }
}
