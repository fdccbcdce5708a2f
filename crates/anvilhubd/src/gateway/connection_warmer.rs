use std::sync::Arc;

use anvilhub_coord::gateway::RouteRule;
use tokio::sync::Semaphore;

use super::{Gateway, TrackedUpstream};

/// Maximum number of connections that are being opened in advance at the same time. Limits the load on upstreams, and
/// on this instance while it starts.
const MAX_OPENING_CONNECTIONS: usize = 8;

/// Opens a connection to each upstream before a request needs it.
///
/// Opening a connection takes several round trips and a slot of the upstream. Without this, each sub-request of the
/// first requests after a start, and the first one to a newly found upstream, would wait for that.
pub(super) struct ConnectionWarmer {
    gateway: Arc<Gateway>,
    opening_permits: Arc<Semaphore>,
}

impl ConnectionWarmer {
    pub(super) fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            opening_permits: Arc::new(Semaphore::new(MAX_OPENING_CONNECTIONS)),
        }
    }

    /// Starts to open a connection to each upstream that needs one, without waiting for it.
    pub(super) fn open_missing(&self) {
        let now = self.gateway.clock.now();
        let table = self.gateway.table.load();
        let Some(table) = table.as_ref() else {
            return;
        };
        let fleet = &self.gateway.fleet;
        let is_settled = fleet.is_settled();
        let has_relay = |rule: &RouteRule, shard_count| {
            fleet.has_relay(shard_count, |member| {
                self.gateway.may_relay_to(&rule.home_regions, member)
            })
        };
        let is_relayed = |rule: &RouteRule, shards| !is_settled || has_relay(rule, shards);
        for service in table.contacted_services(is_relayed) {
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

    /// Opens a connection in the background; does nothing if too many are being opened.
    fn open(&self, upstream: Arc<TrackedUpstream>) {
        let Ok(permit) = Arc::clone(&self.opening_permits).try_acquire_owned() else {
            return;
        };
        let gateway = Arc::clone(&self.gateway);
        tokio::spawn(async move {
            let _permit = permit;
            let Some(_grant) = upstream.connection_queue.try_acquire() else {
                return;
            };
            let result = upstream
                .open_connection(gateway.settings.connect_timeout)
                .await;
            let now = gateway.clock.now();
            match result {
                Ok(connection) => {
                    gateway.reach.record_open();
                    upstream
                        .idle_connections
                        .with(|idle_connections| idle_connections.put(now, now, connection));
                }
                Err(_) => {
                    gateway.reach.record_open_failure();
                    metrics::counter!("anvilhub_warm_failures_total").increment(1);
                }
            }
        });
    }
}
