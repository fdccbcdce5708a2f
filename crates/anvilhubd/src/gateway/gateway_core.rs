use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anvilhub_coord::gateway::{RouteCatalog, TimerLag, UpstreamRecord};
use anvilhub_coord::ids::ServiceName;
use anvilhub_coord::routing::RetryBudget;
use anvilhub_coord::time::ClockTime;
use arc_swap::{ArcSwap, ArcSwapOption};
use log::{info, warn};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::daemon_clock::DaemonClock;
use crate::fleet::FleetState;
use crate::instance_lifecycle::{LifecycleStage, StageCell};
use crate::routes::LockCell;

use super::{
    GatewaySettings, HeaderCodec, ServiceGroup, ServingTable, TrackedUpstream, UpstreamTable,
};

/// Minimum number of connections that one instance may open to an upstream, whatever the upstream's limit.
const MIN_CONNECTIONS: usize = 2;
/// Minimum time between two log lines about exhausted budgets.
const BUDGET_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of connections to an upstream whose limit is not known.
const DEFAULT_CONNECTIONS: usize = 4;

/// The upstreams of each service.
pub(super) type GroupMap = HashMap<ServiceName, Arc<ServiceGroup>>;

/// State of a gateway, shared by the request path and the adapter that supplies routes and upstreams.
pub struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) codec: Arc<dyn HeaderCodec>,
    pub(super) clock: DaemonClock,
    pub(super) stage: StageCell,
    pub(crate) fleet: Arc<FleetState>,
    pub(super) table: ArcSwapOption<ServingTable>,
    pub(super) groups: ArcSwap<GroupMap>,
    upstreams: LockCell<UpstreamTable>,
    budgets: LockCell<HashMap<ServiceName, Arc<LockCell<RetryBudget>>>>,
    has_upstream_list: AtomicBool,
    /// When an exhausted budget was last logged, in microseconds of the clock; 0 before the first time.
    last_budget_log: AtomicU64,
    pub(super) timer_lag: LockCell<TimerLag>,
    /// Wakes requests that wait for the first configuration and the first list of upstreams.
    state_changed: Notify,
}

impl Gateway {
    pub(crate) fn new(
        settings: GatewaySettings,
        codec: Arc<dyn HeaderCodec>,
        stage: StageCell,
    ) -> Arc<Self> {
        let clock = DaemonClock::start();
        Arc::new(Self {
            fleet: FleetState::new(&settings, clock),
            settings,
            codec,
            clock,
            stage,
            table: ArcSwapOption::empty(),
            groups: ArcSwap::default(),
            upstreams: LockCell::default(),
            budgets: LockCell::default(),
            has_upstream_list: AtomicBool::new(false),
            last_budget_log: AtomicU64::new(0),
            timer_lag: LockCell::default(),
            state_changed: Notify::new(),
        })
    }

    /// Puts `catalog` in force unless the current one has the same or a higher version.
    pub fn adopt_catalog(&self, catalog: RouteCatalog) {
        let current = self.table.load_full();
        let current_version = current.as_ref().map(|table| table.catalog.version);
        if current_version.is_some_and(|version| version >= catalog.version) {
            return;
        }
        info!(
            version:% = catalog.version,
            before:? = current_version.map(|version| version.get()),
            routes = catalog.rules().len();
            "configuration adopted"
        );
        metrics::gauge!("anvilhub_configuration_version").set(catalog.version.get() as f64);
        let table = ServingTable::new(catalog, current.as_deref());
        self.table.store(Some(Arc::new(table)));
        self.state_changed.notify_waiters();
    }

    /// Applies the complete list of upstreams.
    pub fn adopt_upstreams(&self, records: Vec<UpstreamRecord>) {
        let now = self.clock.now();
        self.upstreams.with(|upstreams| {
            upstreams.apply_list(now, records);
            upstreams.drop_removed(now);
        });
        self.has_upstream_list.store(true, Ordering::Release);
        self.rebuild_groups();
        self.state_changed.notify_waiters();
    }

    /// Records that the platform was unreachable `age` ago: records that expired meanwhile may reappear.
    pub(crate) fn record_platform_outage(&self, age: Duration) {
        let outage = self.clock.now() - age;
        self.upstreams
            .with(|upstreams| upstreams.record_outage(outage));
    }

    /// Counts a hedge or retry that the budget of `service` does not allow, and logs at most one per second.
    pub(super) fn record_budget_refusal(&self, service: &ServiceName) {
        metrics::counter!("anvilhub_budget_refusals_total").increment(1);
        let now = self.clock.now();
        let last_log = ClockTime(self.last_budget_log.load(Ordering::Acquire));
        if last_log == ClockTime::default() || now.since(last_log) >= BUDGET_LOG_INTERVAL {
            self.last_budget_log.store(now.0, Ordering::Release);
            warn!(service:% = service; "the budget for hedges and retries is used up");
        }
    }

    /// Drops upstreams that count as removed by now.
    pub(super) fn drop_removed_upstreams(&self) {
        let now = self.clock.now();
        if self.upstreams.with(|upstreams| upstreams.drop_removed(now)) {
            self.rebuild_groups();
        }
    }

    /// Returns whether requests can be served.
    pub(super) fn is_ready(&self) -> bool {
        self.ready_table().is_some() && !self.is_draining()
    }

    /// Returns the routes in force; `None` until the upstreams are known too.
    pub(super) fn ready_table(&self) -> Option<Arc<ServingTable>> {
        self.table.load_full().filter(|_| self.has_upstream_list())
    }

    /// Like `ready_table`, but waits up to `max_wait` for the first configuration unless the platform is unreachable.
    pub(super) async fn wait_for_table(&self, max_wait: Duration) -> Option<Arc<ServingTable>> {
        let first_table = async {
            loop {
                let changed = self.state_changed.notified();
                if let Some(table) = self.ready_table() {
                    return table;
                }
                changed.await;
            }
        };
        if let Some(table) = self.ready_table() {
            return Some(table);
        }
        if self.fleet.is_platform_unreachable() {
            return None;
        }
        timeout(max_wait, first_table).await.ok()
    }

    /// Returns whether a list of upstreams was received.
    pub(super) fn has_upstream_list(&self) -> bool {
        self.has_upstream_list.load(Ordering::Acquire)
    }

    pub(super) fn is_draining(&self) -> bool {
        matches!(
            self.stage.get(),
            LifecycleStage::Draining | LifecycleStage::Stopped
        )
    }

    /// Groups the upstreams by service. Processes that are already tracked keep their statistics and connections.
    fn rebuild_groups(&self) {
        let now = self.clock.now();
        let current = self.groups.load_full();
        let by_id: HashMap<_, _> = current
            .values()
            .flat_map(|group| &group.upstreams)
            .map(|upstream| (upstream.record.id.clone(), Arc::clone(upstream)))
            .collect();
        let mut by_service: HashMap<ServiceName, Vec<Arc<TrackedUpstream>>> = HashMap::new();
        self.upstreams.with(|upstreams| {
            for (record, is_leaving) in upstreams.records() {
                let same = by_id
                    .get(&record.id)
                    .filter(|upstream| upstream.record.is_same_process(record));
                let upstream = match same {
                    Some(upstream) => Arc::clone(upstream),
                    None => self.track_upstream(record),
                };
                if upstream.set_leaving(now, is_leaving) {
                    info!(
                        upstream:% = record.id, service:% = record.service, leaving = is_leaving;
                        "upstream changed"
                    );
                }
                by_service
                    .entry(record.service.clone())
                    .or_default()
                    .push(upstream);
            }
        });
        let is_removed = |upstream: &Arc<TrackedUpstream>| {
            let kept = by_service.get(&upstream.record.service);
            !kept.is_some_and(|kept| kept.iter().any(|other| Arc::ptr_eq(other, upstream)))
        };
        let removed: Vec<_> = by_id.into_values().filter(is_removed).collect();
        let groups = by_service
            .into_iter()
            .map(|(service, upstreams)| {
                let budget = self.budget(&service);
                (service, Arc::new(ServiceGroup { upstreams, budget }))
            })
            .collect();
        self.groups.store(Arc::new(groups));
        // Marked only now, so that a request whose upstream was removed finds a replacement in the new groups.
        for upstream in removed {
            let record = &upstream.record;
            info!(upstream:% = record.id, service:% = record.service; "upstream left");
            upstream.mark_removed();
        }
    }

    fn track_upstream(&self, record: &UpstreamRecord) -> Arc<TrackedUpstream> {
        let table = self.table.load();
        let limits = table
            .as_ref()
            .and_then(|table| table.catalog.services.get(&record.service));
        let share = limits.map_or(DEFAULT_CONNECTIONS, |limits| {
            (limits.max_connections.get() / self.settings.connection_sharers.max(1)) as usize
        });
        info!(
            upstream:% = record.id, service:% = record.service, address:% = record.address,
            incarnation:% = record.incarnation, draining = record.is_draining;
            "upstream found"
        );
        Arc::new(TrackedUpstream::new(
            record.clone(),
            share.max(MIN_CONNECTIONS),
        ))
    }

    fn budget(&self, service: &ServiceName) -> Arc<LockCell<RetryBudget>> {
        let settings = &self.settings;
        self.budgets.with(|budgets| {
            let budget = budgets.entry(service.clone()).or_insert_with(|| {
                let budget = RetryBudget::with_window(
                    settings.extra_load,
                    settings.extra_window,
                    settings.extra_slack,
                );
                Arc::new(LockCell::new(budget))
            });
            Arc::clone(budget)
        })
    }
}
