use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anvilhub_coord::gateway::{RouteCatalog, UpstreamEntry, WakeLag};
use anvilhub_coord::ids::ServiceName;
use anvilhub_coord::routing::RetryBudget;
use anvilhub_coord::time::ClockTime;
use arc_swap::{ArcSwap, ArcSwapOption};
use log::{info, warn};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::DaemonClock;
use crate::fleet::FleetNode;
use crate::lifecycle::{LifecycleStage, StageCell};
use crate::routes::LockCell;

use super::{GatewaySettings, GatewayWire, ServiceGroup, ServingTable, UpstreamFeed, UpstreamNode};

/// Least connections of one instance to an upstream, whatever the limit of the upstream.
const LEAST_CONNECTIONS: usize = 2;
/// Time between two log lines about budgets that are used up.
const BUDGET_NOTE_PAUSE: Duration = Duration::from_secs(1);
/// Connections to an upstream whose limit is not known.
const UNKNOWN_CONNECTIONS: usize = 4;

pub(super) type GroupMap = HashMap<ServiceName, Arc<ServiceGroup>>;

/// State that the request path shares with the face that feeds it.
pub struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) wire: Arc<dyn GatewayWire>,
    pub(super) clock: DaemonClock,
    pub(super) stage: StageCell,
    pub(crate) fleet: Arc<FleetNode>,
    pub(super) table: ArcSwapOption<ServingTable>,
    pub(super) groups: ArcSwap<GroupMap>,
    feed: LockCell<UpstreamFeed>,
    budgets: LockCell<HashMap<ServiceName, Arc<LockCell<RetryBudget>>>>,
    knows_upstreams: AtomicBool,
    budget_noted: AtomicU64,
    /// How late cuts happen.
    pub(super) lag: LockCell<WakeLag>,
    /// Wakes requests that wait for the first configuration.
    learned: Notify,
}

impl Gateway {
    pub(crate) fn new(
        settings: GatewaySettings,
        wire: Arc<dyn GatewayWire>,
        stage: StageCell,
    ) -> Arc<Self> {
        let clock = DaemonClock::start();
        Arc::new(Self {
            fleet: FleetNode::new(&settings, clock),
            settings,
            wire,
            clock,
            stage,
            table: ArcSwapOption::empty(),
            groups: ArcSwap::default(),
            feed: LockCell::default(),
            budgets: LockCell::default(),
            knows_upstreams: AtomicBool::new(false),
            budget_noted: AtomicU64::new(0),
            lag: LockCell::default(),
            learned: Notify::new(),
        })
    }

    /// Puts `catalog` in force unless the present one has the same or a higher version.
    pub fn adopt_catalog(&self, catalog: RouteCatalog) {
        let earlier = self.table.load_full();
        let in_force = earlier.as_ref().map(|table| table.catalog.version);
        if in_force.is_some_and(|version| version >= catalog.version) {
            return;
        }
        info!(
            version:% = catalog.version,
            before:? = in_force.map(|version| version.get()),
            routes = catalog.rules().len();
            "configuration adopted"
        );
        metrics::gauge!("anvilhub_configuration_version").set(catalog.version.get() as f64);
        let table = ServingTable::new(catalog, earlier.as_deref());
        self.table.store(Some(Arc::new(table)));
        self.learned.notify_waiters();
    }

    /// Takes in the whole list of upstreams.
    pub fn adopt_upstreams(&self, entries: Vec<UpstreamEntry>) {
        let now = self.clock.now();
        self.feed.with(|feed| {
            feed.listed(now, entries);
            feed.review(now);
        });
        self.knows_upstreams.store(true, Ordering::Release);
        self.rebuild_groups();
        self.learned.notify_waiters();
    }

    /// Notes that the platform was away `age` ago: entries that lapsed meanwhile may come back.
    pub(crate) fn note_away(&self, age: Duration) {
        let away = self.clock.now() - age;
        self.feed.with(|feed| feed.list_away(away));
    }

    /// Counts a hedge or retry that the budget of `service` does not pay for, and logs one of them a second.
    pub(super) fn note_spent_budget(&self, service: &ServiceName) {
        metrics::counter!("anvilhub_budget_refusals_total").increment(1);
        let now = self.clock.now();
        let noted = ClockTime(self.budget_noted.load(Ordering::Acquire));
        if noted == ClockTime::default() || now.since(noted) >= BUDGET_NOTE_PAUSE {
            self.budget_noted.store(now.0, Ordering::Release);
            warn!(service:% = service; "the budget for hedges and retries is used up");
        }
    }

    /// Drops upstreams whose absence is certain by now.
    pub(super) fn review_upstreams(&self) {
        let now = self.clock.now();
        if self.feed.with(|feed| feed.review(now)) {
            self.rebuild_groups();
        }
    }

    /// Says whether requests can be served.
    pub(super) fn is_ready(&self) -> bool {
        self.known_table().is_some() && !self.is_draining()
    }

    /// The routes in force, once the upstreams are known too.
    pub(super) fn known_table(&self) -> Option<Arc<ServingTable>> {
        self.table.load_full().filter(|_| self.knows_upstreams())
    }

    /// As `known_table`; waits up to `patience` for the first configuration while the platform answers.
    pub(super) async fn learned_table(&self, patience: Duration) -> Option<Arc<ServingTable>> {
        let learned = async {
            loop {
                let changed = self.learned.notified();
                if let Some(table) = self.known_table() {
                    return table;
                }
                changed.await;
            }
        };
        if let Some(table) = self.known_table() {
            return Some(table);
        }
        if self.fleet.is_platform_lost() {
            return None;
        }
        timeout(patience, learned).await.ok()
    }

    /// Says whether the list of upstreams was read.
    pub(super) fn knows_upstreams(&self) -> bool {
        self.knows_upstreams.load(Ordering::Acquire)
    }

    pub(super) fn is_draining(&self) -> bool {
        matches!(
            self.stage.get(),
            LifecycleStage::Draining | LifecycleStage::Stopped
        )
    }

    /// Lays out the upstreams by service. Processes that are known keep their state and connections.
    fn rebuild_groups(&self) {
        let now = self.clock.now();
        let known = self.groups.load_full();
        let by_id: HashMap<_, _> = known
            .values()
            .flat_map(|group| &group.nodes)
            .map(|node| (node.entry.id.clone(), Arc::clone(node)))
            .collect();
        let mut nodes: HashMap<ServiceName, Vec<Arc<UpstreamNode>>> = HashMap::new();
        self.feed.with(|feed| {
            for (entry, leaving) in feed.entries() {
                let same = by_id
                    .get(&entry.id)
                    .filter(|node| node.entry.is_same_process(entry));
                let node = match same {
                    Some(node) => Arc::clone(node),
                    None => self.found(entry),
                };
                if node.set_leaving(now, leaving) {
                    info!(upstream:% = entry.id, service:% = entry.service, leaving; "upstream changed");
                }
                nodes.entry(entry.service.clone()).or_default().push(node);
            }
        });
        let is_left = |node: &Arc<UpstreamNode>| {
            let kept = nodes.get(&node.entry.service);
            !kept.is_some_and(|kept| kept.iter().any(|other| Arc::ptr_eq(other, node)))
        };
        let left: Vec<_> = by_id.into_values().filter(is_left).collect();
        let groups = nodes
            .into_iter()
            .map(|(service, nodes)| {
                let budget = self.budget(&service);
                (service, Arc::new(ServiceGroup { nodes, budget }))
            })
            .collect();
        self.groups.store(Arc::new(groups));
        // Afterwards, so that a request that finds its upstream gone finds the next one.
        for node in left {
            info!(upstream:% = node.entry.id, service:% = node.entry.service; "upstream left");
            node.set_gone();
        }
    }

    fn found(&self, entry: &UpstreamEntry) -> Arc<UpstreamNode> {
        let table = self.table.load();
        let limits = table
            .as_ref()
            .and_then(|table| table.catalog.services.get(&entry.service));
        let share = limits.map_or(UNKNOWN_CONNECTIONS, |limits| {
            (limits.connections.get() / self.settings.connection_sharers.max(1)) as usize
        });
        info!(
            upstream:% = entry.id, service:% = entry.service, address:% = entry.address,
            incarnation:% = entry.incarnation, draining = entry.draining;
            "upstream found"
        );
        Arc::new(UpstreamNode::new(
            entry.clone(),
            share.max(LEAST_CONNECTIONS),
        ))
    }

    fn budget(&self, service: &ServiceName) -> Arc<LockCell<RetryBudget>> {
        let settings = &self.settings;
        self.budgets.with(|budgets| {
            let budget = budgets.entry(service.clone()).or_insert_with(|| {
                let budget = RetryBudget::windowed(
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
