use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilhub_coord::border::platform::InstanceList;
use anvilhub_coord::configuration::{ExchangeMessage, PeerIdentity, PeerStage, SheetInput};
use anvilhub_coord::ids::{Incarnation, InstanceId};
use anvilhub_coord::membership::{MemberState, MemberTable};
use anvilhub_coord::sheet::CheckedSheet;
use anvilhub_coord::ticket::{TicketLimits, TicketOwner, TicketTable};
use anvilhub_coord::time::{ClockTime, PauseDetector};
use arc_swap::{ArcSwap, ArcSwapOption};
use log::warn;
use metrics::counter;
use tokio::sync::Semaphore;

use crate::DaemonSettings;
use crate::controllers::ConfigState;
use crate::crash_state::CrashState;
use crate::daemon_clock::DaemonClock;
use crate::fanout::{OwnerTable, SubRequestIds};
use crate::instance_lifecycle::{LifecycleStage, StageCell};
use crate::peer::PeerClients;
use crate::pool::UpstreamPool;
use crate::routes::{EntryDivision, LeavingAnnouncements, RouteStore, RouteTable, leaving_signals};
use crate::tickets::{TicketService, random_number};

/// Maximum number of cancellations in flight to upstreams. Further ones are skipped.
const MAX_CONCURRENT_CANCELLATIONS: usize = 64;

/// State shared by the request path, the controllers and the operator endpoints.
pub(crate) struct EntryContext {
    pub(crate) settings: DaemonSettings,
    pub(crate) clock: DaemonClock,
    pub(crate) stage: StageCell,
    /// The sheet in force.
    pub(crate) sheet: ArcSwapOption<CheckedSheet>,
    /// The latest instance list of the platform.
    pub(crate) instance_list: ArcSwapOption<InstanceList>,
    pub(crate) configuration: Arc<ConfigState>,
    pub(crate) pause_detector: PauseDetector,
    /// How shards, slots and connections are divided among the instances.
    pub(crate) division: ArcSwap<EntryDivision>,
    pub(crate) pool: UpstreamPool,
    pub(crate) peers: PeerClients,
    pub(crate) tickets: Arc<TicketService>,
    pub(crate) route_store: RouteStore,
    /// Whether the owners of shards answer.
    pub(crate) owners: OwnerTable,
    pub(crate) sub_request_ids: SubRequestIds,
    /// The requests that upstreams crashed under.
    pub(crate) crashes: CrashState,
    /// Limits the cancellations in flight.
    pub(crate) cancel_permits: Semaphore,
    members: Mutex<MemberTable>,
    requests_in_flight: AtomicUsize,
}

impl EntryContext {
    pub(crate) fn new(settings: DaemonSettings, clock: DaemonClock, stage: StageCell) -> Arc<Self> {
        let pool = UpstreamPool::new(&settings, clock);
        let peers = PeerClients::new(settings.connect_timeout);
        let incarnation = Incarnation(random_number());
        let tickets = Arc::new(TicketService::new(ticket_table(&settings, incarnation)));
        let now = clock.now();
        let identity = PeerIdentity {
            instance: settings.instance.clone(),
            incarnation,
            peer_address: settings.peer_address,
            failure_domain: settings.failure_domain.clone(),
        };
        let configuration = ConfigState::new(identity, settings.isolated_start_after, now);
        let members = MemberTable::new(settings.instance.clone(), settings.peers.clone());
        let pause_detector = PauseDetector::new(settings.pause_limit, now);
        let sub_request_ids = SubRequestIds::new(&settings.instance, incarnation.get());
        Arc::new(Self {
            settings,
            clock,
            stage,
            sheet: ArcSwapOption::empty(),
            instance_list: ArcSwapOption::empty(),
            configuration: Arc::new(configuration),
            pause_detector,
            division: ArcSwap::default(),
            members: Mutex::new(members),
            pool,
            peers,
            tickets,
            route_store: RouteStore::new(clock),
            owners: OwnerTable::default(),
            sub_request_ids,
            crashes: CrashState::new(clock),
            cancel_permits: Semaphore::new(MAX_CONCURRENT_CANCELLATIONS),
            requests_in_flight: AtomicUsize::new(0),
        })
    }

    /// Returns the routes of the sheet in force, `None` until there is one.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        let sheet = self.sheet.load_full()?;
        Some(self.routes_for(&sheet))
    }

    /// Returns the routes of `sheet`, or those of a newer sheet if they have already been built.
    pub(crate) fn routes_for(&self, sheet: &CheckedSheet) -> Arc<RouteTable> {
        let instance_count = self.division.load().instance_count;
        self.route_store.table_for(sheet, instance_count)
    }

    /// Computes how shards, slots and connections are divided among the instances that are known now.
    pub(crate) fn compute_division(&self) -> EntryDivision {
        let own_id = &self.settings.instance;
        let now = self.clock.now();
        let members = self.members();
        let live_members = members.live_members(now);
        let live = live_members
            .filter_map(|peer| Some((peer.clone(), members.address(peer)?)))
            .collect();
        // A silent instance may only be paused, so it may still hold its connections.
        let holds_connections = |peer: &&InstanceId| {
            let state = members.state(peer, now);
            matches!(state, MemberState::Leaving | MemberState::Silent)
        };
        let other_holders: Vec<InstanceId> =
            members.peers().filter(holds_connections).cloned().collect();
        EntryDivision::new(own_id, !self.is_draining(), live, other_holders)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.requests_in_flight.fetch_add(1, Ordering::AcqRel);
        RequestGuard(Arc::clone(self))
    }

    pub(crate) fn requests_in_flight(&self) -> usize {
        self.requests_in_flight.load(Ordering::Acquire)
    }

    /// Locks the membership table, which holds what is known about the other instances.
    pub(crate) fn members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the peer address of another instance, `None` when it is unknown.
    pub(crate) fn peer_address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.members().address(instance)
    }

    /// Returns the peer addresses of the other entry instances that accept work.
    pub(crate) fn live_peers(&self) -> Vec<SocketAddr> {
        let members = self.members();
        let live = members.live_members(self.clock.now());
        live.filter_map(|peer| members.address(peer)).collect()
    }

    /// Builds the message that reports the state of this instance to a peer.
    pub(crate) fn exchange_message(&self) -> ExchangeMessage {
        let routes = self.route_store.table();
        let announcements = routes.map_or_else(LeavingAnnouncements::default, |routes| {
            LeavingAnnouncements::collect(&routes, self.clock.now())
        });
        self.crashes.forget_old();
        ExchangeMessage {
            reported_draining: announcements.reported,
            crashes: self.crashes.collect_notes(),
            ..self
                .configuration
                .exchange_message(self.is_draining(), announcements.direct)
        }
    }

    /// Records the state that a peer reported, in answer to an exchange that was sent at `sent_at`, or in an
    /// exchange that the peer started when `sent_at` is `None`.
    pub(crate) fn record_peer_message(&self, message: ExchangeMessage, sent_at: Option<ClockTime>) {
        let is_draining = message.stage == PeerStage::Draining;
        self.crashes.record_notes(&message.crashes);
        if let Some(routes) = self.route_store.table() {
            leaving_signals::apply_peer_message(&routes, &message, self.clock.now());
        }
        self.members()
            .record_answer(&message.sender, is_draining, self.clock.now());
        self.configuration
            .queue_input(SheetInput::PeerMessage { message, sent_at });
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.stage.get() == LifecycleStage::Draining
    }

    /// Handles a pause of the process: what was known before is not used until it is confirmed again.
    pub(crate) fn handle_pause(&self, pause: Duration) {
        warn!(pause_ms = pause.as_millis() as u64; "the process was paused; confirming its state again");
        counter!("anvilhub_pauses_total").increment(1);
        self.pool.mark_idle_suspect();
        // Wakes the configuration controller, which then finds that a pause ended after the last one that it
        // acknowledged.
        self.configuration.queue_input(SheetInput::Tick);
    }

    /// Waits until the sheet in force is confirmed, for at most half of the time until `deadline`. Returns whether
    /// it is.
    ///
    /// Checks for a pause itself, because this thread may resume before the heartbeat thread.
    pub(crate) async fn confirm_sheet(&self, deadline: ClockTime) -> bool {
        let now = self.clock.now();
        if let Some(pause) = self.pause_detector.detect_pause(now) {
            self.handle_pause(pause);
        }
        if self.is_confirmed() {
            return true;
        }
        let max_wait = deadline.since(now) / 2;
        let resumed_at = || self.pause_detector.resumed_at();
        self.configuration.wait_ready(max_wait, resumed_at).await
    }

    /// Returns whether the sheet in force was confirmed after the last pause that any thread has detected.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.configuration
            .is_ready(self.pause_detector.resumed_at())
    }

    /// Checks for a pause, and returns whether the process resumed from one after `time`.
    pub(crate) fn was_paused_since(&self, time: ClockTime) -> bool {
        if let Some(pause) = self.pause_detector.detect_pause(self.clock.now()) {
            self.handle_pause(pause);
        }
        self.pause_detector
            .resumed_at()
            .is_some_and(|resumed_at| resumed_at > time)
    }
}

fn ticket_table(settings: &DaemonSettings, incarnation: Incarnation) -> TicketTable {
    let owner = TicketOwner {
        instance: settings.instance.clone(),
        address: settings.peer_address,
        incarnation,
    };
    let limits = TicketLimits {
        lifetime: settings.ticket_lifetime,
        retention: settings.ticket_retention,
        ..TicketLimits::default()
    };
    TicketTable::new(owner, limits)
}

/// Counts one request as in flight until it is dropped.
pub(crate) struct RequestGuard(Arc<EntryContext>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests_in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
