use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anvilhub_coord::fleet::{DomainShares, MemberInfo};
use anvilhub_coord::gateway::{HomeRegions, RouteCatalog, TimerLag, UpstreamRecord};
use anvilhub_coord::ids::{FailureDomain, ServiceName, SheetVersion};
use anvilhub_coord::memory::MemoryPlan;
use anvilhub_coord::routing::RetryBudget;
use anvilhub_coord::time::ClockTime;
use arc_swap::{ArcSwap, ArcSwapOption};
use log::{info, warn};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::daemon_clock::DaemonClock;
use crate::fleet::FleetState;
use crate::instance_lifecycle::{LifecycleStage, StageCell};
use crate::memory::MemoryLedger;
use crate::pool::ANSWER_BUDGET;
use crate::routes::LockCell;

use super::{
    DomainDistances, DomainTable, GatewaySettings, HeaderCodec, ReachMonitor, RouteState,
    ServiceGroup, ServiceSpillover, ServingTable, StopDeadline, TrackedUpstream, UpstreamTable,
};

/// Minimum of an instance's share of an upstream's connections, whatever the upstream's limit.
const MIN_CONNECTION_SHARE: usize = 2;
/// Minimum time between two log lines about exhausted retry budgets.
const BUDGET_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// An instance's share of the connections to an upstream whose limit is not known.
const DEFAULT_CONNECTION_SHARE: usize = 4;

/// The upstreams of each service.
pub(super) type GroupMap = HashMap<ServiceName, Arc<ServiceGroup>>;

/// State of a gateway, shared by the request path and the adapter that supplies routes and upstreams.
pub struct Gateway {
    pub(super) settings: GatewaySettings,
    /// Translates the platform's headers.
    pub(super) codec: Arc<dyn HeaderCodec>,
    pub(super) clock: DaemonClock,
    /// Memory that callers and relays make this instance hold.
    pub(super) ledger: Arc<MemoryLedger>,
    /// How the memory of this instance is divided.
    pub(super) memory_plan: MemoryPlan,
    /// Stage of this instance between start and stop.
    pub(super) stage: StageCell,
    /// The other instances, and the platform's values.
    pub(crate) fleet: Arc<FleetState>,
    /// The routes in force; `None` before the first configuration.
    pub(super) table: ArcSwapOption<ServingTable>,
    /// The tracked upstreams, from which requests choose.
    pub(super) groups: ArcSwap<GroupMap>,
    /// Number of times that `groups` was replaced. It is also replaced after a change of the evacuated domains.
    groups_generation: AtomicU64,
    /// The upstreams in use, from which `groups` are rebuilt.
    upstreams: LockCell<UpstreamTable>,
    /// What the operator has ordered for each failure domain.
    pub(super) domains: DomainTable,
    retry_budgets: LockCell<HashMap<ServiceName, Arc<LockCell<RetryBudget>>>>,
    spillovers: LockCell<HashMap<ServiceName, Arc<ServiceSpillover>>>,
    /// How far the other failure domains are away.
    distances: DomainDistances,
    /// Whether a list of upstreams has been received since the start.
    has_upstream_list: AtomicBool,
    /// Time of the last log line about an exhausted budget, in microseconds since the start of `clock`; 0 before the
    /// first one.
    last_budget_log_us: AtomicU64,
    /// When callers must be answered because this instance stops.
    pub(super) stop_deadline: StopDeadline,
    /// Whether this instance reaches the upstreams.
    pub(super) reach: ReachMonitor,
    /// How late timers of this instance fire.
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
        let memory_plan = MemoryPlan::new(
            settings.memory,
            settings.max_connections,
            settings.max_answer_size,
        );
        ANSWER_BUDGET.set_max_size(memory_plan.answer_limit);
        Arc::new(Self {
            fleet: FleetState::new(&settings, clock),
            ledger: MemoryLedger::new(memory_plan.ledger_limit, clock),
            memory_plan,
            settings,
            codec,
            clock,
            stage,
            table: ArcSwapOption::empty(),
            groups: ArcSwap::default(),
            groups_generation: AtomicU64::new(0),
            upstreams: LockCell::default(),
            domains: DomainTable::default(),
            retry_budgets: LockCell::default(),
            spillovers: LockCell::default(),
            distances: DomainDistances::default(),
            has_upstream_list: AtomicBool::new(false),
            last_budget_log_us: AtomicU64::new(0),
            stop_deadline: StopDeadline::default(),
            reach: ReachMonitor::new(clock),
            timer_lag: LockCell::default(),
            state_changed: Notify::new(),
        })
    }

    /// Puts `catalog` in force, unless the one in force has the same or a higher version.
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
        self.update_warmups();
        self.state_changed.notify_waiters();
    }

    /// Makes `evacuated` the set of failure domains whose upstreams get no requests. Must be followed by
    /// `adopt_upstreams` with the list of the same update: it wakes the attempts that wait at evacuated upstreams once the
    /// upstreams that may replace these are known. Upstreams of that list are never used if their domain is evacuated.
    pub fn adopt_evacuations(&self, evacuated: &BTreeSet<FailureDomain>) {
        let (now, platform_age) = (self.clock.now(), self.fleet.platform_age());
        metrics::gauge!("anvilhub_evacuated_domains").set(evacuated.len() as f64);
        self.domains.adopt_evacuations(now, platform_age, evacuated);
    }

    /// Replaces the list of upstreams by `records`, the complete list of the platform.
    pub fn adopt_upstreams(&self, records: Vec<UpstreamRecord>) {
        let now = self.clock.now();
        self.upstreams.with(|upstreams| {
            upstreams.apply_list(now, records);
            upstreams.drop_removed(now);
        });
        self.rebuild_groups();
        self.domains.wake_attempts();
        // Set after the groups are stored: a request that finds this instance ready must find its upstreams.
        self.has_upstream_list.store(true, Ordering::Release);
        self.state_changed.notify_waiters();
    }

    /// Records that the platform was unreachable `outage_age` ago. Upstreams whose records expired during the outage
    /// are kept for a while, since they may write their records again.
    pub(crate) fn record_platform_outage(&self, outage_age: Duration) {
        let outage = self.clock.now() - outage_age;
        self.upstreams
            .with(|upstreams| upstreams.record_outage(outage));
    }

    /// Records that the platform was found restored from a copy, before its values are passed on. Upstreams that the copy
    /// does not hold are kept for a while, and upstreams that left since the copy are not taken back.
    pub(crate) fn record_platform_restore(&self) {
        let now = self.clock.now();
        self.upstreams
            .with(|upstreams| upstreams.record_restore(now));
    }

    /// Counts a hedge or retry that the retry budget of `service` does not allow, and logs it unless one was logged
    /// less than `BUDGET_LOG_INTERVAL` ago.
    pub(super) fn record_budget_refusal(&self, service: &ServiceName) {
        metrics::counter!("anvilhub_budget_refusals_total").increment(1);
        let now = self.clock.now();
        let last_log = ClockTime(self.last_budget_log_us.load(Ordering::Acquire));
        if last_log == ClockTime::default() || now.since(last_log) >= BUDGET_LOG_INTERVAL {
            self.last_budget_log_us.store(now.0, Ordering::Release);
            warn!(service:% = service; "the budget for hedges and retries is used up");
        }
    }

    /// Drops the upstreams whose removal time has come.
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

    /// Returns the routes in force; `None` until both a configuration and a list of upstreams have been received.
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

    /// Returns whether a list of upstreams has been received since the start.
    pub(super) fn has_upstream_list(&self) -> bool {
        self.has_upstream_list.load(Ordering::Acquire)
    }

    /// Returns whether a planned stop of this instance has begun.
    pub(super) fn is_draining(&self) -> bool {
        matches!(
            self.stage.get(),
            LifecycleStage::Draining | LifecycleStage::Stopped
        )
    }

    /// Records that a planned stop begins.
    pub(super) fn begin_stop(&self) {
        self.stop_deadline
            .begin(self.clock.now(), self.settings.stop_grace);
        self.fleet.announce_leaving();
    }

    /// Runs `future` until it ends or callers must be answered because this instance stops, `None` in that case.
    pub(super) async fn run_until_stop<F: Future>(&self, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.stop_deadline.wait(self.clock) => None,
        }
    }

    /// Returns the number of times that the lists of upstreams were replaced. It is counted up before the upstreams that
    /// are missing from the new lists are marked as removed.
    pub(super) fn groups_generation(&self) -> u64 {
        self.groups_generation.load(Ordering::Acquire)
    }

    /// Returns the upstreams of `service` that requests with these home regions may reach; `None` if the service has none.
    pub(super) fn service_group(
        &self,
        service: &ServiceName,
        home_regions: &HomeRegions,
    ) -> Option<Arc<ServiceGroup>> {
        let groups = self.groups.load();
        let group = groups.get(service)?;
        Some(group.within(home_regions, &self.settings.regions))
    }

    /// Returns whether requests with these home regions may be relayed to `member`.
    pub(super) fn may_relay_to(&self, home_regions: &HomeRegions, member: &MemberInfo) -> bool {
        let GatewaySettings {
            failure_domain,
            regions,
            ..
        } = &self.settings;
        home_regions.allow_relay(failure_domain, &member.failure_domain, regions)
    }

    /// Returns in which failure domains `shards` have upstreams that may get their requests. The shares are computed again only
    /// after the upstreams, their orders or the configuration have changed; `state` and `version` are those of the route.
    pub(super) fn domain_shares(
        &self,
        state: &RouteState,
        version: SheetVersion,
        shards: &[ServiceName],
        home_regions: &HomeRegions,
    ) -> Arc<DomainShares> {
        let generation = self.groups_generation();
        state.domain_shares((generation, version), || {
            let groups = self.groups.load();
            DomainShares::of_shards(shards.iter().map(|service| {
                let upstreams = groups.get(service).into_iter();
                upstreams
                    .flat_map(|group| &group.upstreams)
                    .filter(|upstream| !upstream.is_evacuated())
                    .map(|upstream| &upstream.record.failure_domain)
                    .filter(|domain| home_regions.allow_upstreams(domain, &self.settings.regions))
            }))
        })
    }

    /// Groups the upstreams by service and marks those that were removed. Upstreams whose process is the same as before
    /// keep their statistics and connections.
    fn rebuild_groups(&self) {
        let now = self.clock.now();
        let current = self.groups.load_full();
        let by_id: HashMap<_, _> = current
            .values()
            .flat_map(|group| &group.upstreams)
            .map(|upstream| (upstream.record.id.clone(), Arc::clone(upstream)))
            .collect();
        // Updated before the groups are stored, so that no request finds a cold upstream without its limit.
        self.update_warmups();
        let mut by_service: HashMap<ServiceName, Vec<Arc<TrackedUpstream>>> = HashMap::new();
        self.upstreams.with(|upstreams| {
            for (record, is_missing) in upstreams.records() {
                let known = by_id
                    .get(&record.id)
                    .filter(|upstream| upstream.record.is_same_process(record));
                let upstream = match known {
                    Some(upstream) => Arc::clone(upstream),
                    None => self.track_upstream(record),
                };
                if upstream.set_leaving(now, record.is_draining, is_missing) {
                    info!(
                        upstream:% = record.id, service:% = record.service, leaving = record.is_draining,
                        missing = is_missing;
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
            let remaining = by_service.get(&upstream.record.service);
            !remaining
                .is_some_and(|remaining| remaining.iter().any(|other| Arc::ptr_eq(other, upstream)))
        };
        let removed: Vec<_> = by_id.into_values().filter(is_removed).collect();
        let groups = by_service
            .into_iter()
            .map(|(service, upstreams)| {
                let retry_budget = self.retry_budget(&service);
                let spillover = self.spillover(&service);
                let group = ServiceGroup {
                    upstreams,
                    retry_budget,
                    spillover,
                };
                (service, Arc::new(group))
            })
            .collect();
        self.groups.store(Arc::new(groups));
        self.groups_generation.fetch_add(1, Ordering::AcqRel);
        // Marked after the new groups are stored, so that a request whose upstream was removed finds a replacement in
        // them.
        for upstream in removed {
            let record = &upstream.record;
            info!(upstream:% = record.id, service:% = record.service; "upstream left");
            upstream.mark_removed();
        }
    }

    /// Passes on which upstreams are cold, and the rates that their services tolerate then.
    fn update_warmups(&self) {
        let warmups = &self.fleet.warmups;
        if !warmups.is_enabled() {
            return;
        }
        let table = self.table.load_full();
        let services = table.as_ref().map(|table| &table.catalog.services);
        self.upstreams.with(|upstreams| {
            let reports = upstreams.warmup_reports(services);
            warmups.record_reports(reports, self.fleet.platform_age());
        });
    }

    /// Starts to track an upstream, with this instance's share of its connections.
    fn track_upstream(&self, record: &UpstreamRecord) -> Arc<TrackedUpstream> {
        let table = self.table.load();
        let limits = table
            .as_ref()
            .and_then(|table| table.catalog.services.get(&record.service));
        let connection_share = limits.map_or(DEFAULT_CONNECTION_SHARE, |limits| {
            (limits.max_connections.get() / self.settings.connection_sharer_count.max(1)) as usize
        });
        info!(
            upstream:% = record.id, service:% = record.service, address:% = record.address,
            incarnation:% = record.incarnation, draining = record.is_draining;
            "upstream found"
        );
        Arc::new(TrackedUpstream::new(
            record.clone(),
            connection_share.max(MIN_CONNECTION_SHARE),
            self.distances
                .distance(&record.failure_domain, &self.settings, self.clock),
            self.domains.state(&record.failure_domain),
            self.clock,
        ))
    }

    /// Ends the spillover of services that have had no attempts for a while.
    pub(super) fn expire_spillovers(&self) {
        if self.settings.remote_price.is_none() {
            return;
        }
        let now = self.clock.now();
        let groups = self.groups.load();
        groups
            .values()
            .for_each(|group| group.spillover.expire(now));
    }

    /// Returns the spillover of `service`; creates it when it is first needed.
    fn spillover(&self, service: &ServiceName) -> Arc<ServiceSpillover> {
        self.spillovers.with(|spillovers| {
            let spillover = spillovers
                .entry(service.clone())
                .or_insert_with(|| Arc::new(ServiceSpillover::new(service.clone())));
            Arc::clone(spillover)
        })
    }

    /// Returns the retry budget of `service`; creates it when it is first needed.
    fn retry_budget(&self, service: &ServiceName) -> Arc<LockCell<RetryBudget>> {
        let settings = &self.settings;
        self.retry_budgets.with(|retry_budgets| {
            let retry_budget = retry_budgets.entry(service.clone()).or_insert_with(|| {
                let retry_budget = RetryBudget::with_window(
                    settings.extra_load,
                    settings.extra_window,
                    settings.extra_slack,
                );
                Arc::new(LockCell::new(retry_budget))
            });
            Arc::clone(retry_budget)
        })
    }
}
