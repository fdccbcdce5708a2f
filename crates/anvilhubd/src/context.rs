use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilhub_coord::border::platform::InstanceList;
use anvilhub_coord::configuration::{ExchangeMessage, PeerIdentity, PeerStage, SheetInput};
use anvilhub_coord::ids::{Incarnation, InstanceId};
use anvilhub_coord::membership::{MemberState, MemberTable};
use anvilhub_coord::sheet::CheckedSheet;
use anvilhub_coord::ticket::{TicketIdentity, TicketLimits, TicketTable};
use anvilhub_coord::time::{ClockTime, PauseDetector};
use arc_swap::{ArcSwap, ArcSwapOption};
use log::warn;
use metrics::counter;
use tokio::sync::Semaphore;

use crate::DaemonSettings;
use crate::clock::DaemonClock;
use crate::controllers::ConfigState;
use crate::fanout::{OwnerTable, SubRequestIds};
use crate::lifecycle::{LifecycleStage, StageCell};
use crate::peer::PeerClients;
use crate::pool::UpstreamPool;
use crate::routes::{EntryDivision, RouteStore, RouteTable, leaving_news};
use crate::tickets::{TicketService, random_number};

/// Cancellations on their way to upstreams at once; more are left out.
const MOST_CANCELS: usize = 64;

/// State that the request path, the controllers and the operator endpoints share.
pub(crate) struct EntryContext {
    pub(crate) settings: DaemonSettings,
    pub(crate) clock: DaemonClock,
    pub(crate) stage: StageCell,
    pub(crate) sheet: ArcSwapOption<CheckedSheet>,
    pub(crate) instances: ArcSwapOption<InstanceList>,
    pub(crate) configuration: Arc<ConfigState>,
    pub(crate) pause: PauseDetector,
    pub(crate) division: ArcSwap<EntryDivision>,
    pub(crate) pool: UpstreamPool,
    pub(crate) peers: PeerClients,
    pub(crate) tickets: Arc<TicketService>,
    pub(crate) route_store: RouteStore,
    pub(crate) owners: OwnerTable,
    pub(crate) sub_ids: SubRequestIds,
    pub(crate) cancels: Semaphore,
    members: Mutex<MemberTable>,
    requests: AtomicUsize,
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
        let pause = PauseDetector::new(settings.pause_limit, now);
        let sub_ids = SubRequestIds::new(&settings.instance, incarnation.get());
        Arc::new(Self {
            settings,
            clock,
            stage,
            sheet: ArcSwapOption::empty(),
            instances: ArcSwapOption::empty(),
            configuration: Arc::new(configuration),
            pause,
            division: ArcSwap::default(),
            members: Mutex::new(members),
            pool,
            peers,
            tickets,
            route_store: RouteStore::new(clock),
            owners: OwnerTable::default(),
            sub_ids,
            cancels: Semaphore::new(MOST_CANCELS),
            requests: AtomicUsize::new(0),
        })
    }

    /// The routes of the sheet in force, `None` until there is one.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        let sheet = self.sheet.load_full()?;
        Some(self.routes_of(&sheet))
    }

    /// The routes of `sheet`, or those of a newer one.
    pub(crate) fn routes_of(&self, sheet: &CheckedSheet) -> Arc<RouteTable> {
        let entries = self.division.load().entries;
        self.route_store.for_sheet(sheet, entries)
    }

    /// How shards, slots and connections are divided among the instances that are known now.
    pub(crate) fn divide_entries(&self) -> EntryDivision {
        let own = &self.settings.instance;
        let now = self.clock.now();
        let members = self.members();
        let live = members.live_members(now);
        let live = live
            .filter_map(|peer| Some((peer.clone(), members.address(peer)?)))
            .collect();
        // A silent instance may be paused and still holds its connections.
        let holds_connections = |peer: &&InstanceId| {
            let state = members.state(peer, now);
            matches!(state, MemberState::Leaving | MemberState::Silent)
        };
        let leaving: Vec<InstanceId> = members.peers().filter(holds_connections).cloned().collect();
        EntryDivision::new(own, !self.is_draining(), live, leaving)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard(Arc::clone(self))
    }

    pub(crate) fn requests_in_flight(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// What is known of the other instances.
    pub(crate) fn members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Peer address of another instance.
    pub(crate) fn peer_address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.members().address(instance)
    }

    /// Peer addresses of the other entry instances that take work.
    pub(crate) fn live_peers(&self) -> Vec<SocketAddr> {
        let members = self.members();
        let live = members.live_members(self.clock.now());
        live.filter_map(|peer| members.address(peer)).collect()
    }

    /// The state to tell a peer.
    pub(crate) fn exchange_message(&self) -> ExchangeMessage {
        let routes = self.route_store.table();
        let draining = routes.map_or_else(Vec::new, |routes| leaving_news::direct(&routes));
        self.configuration.message(self.is_draining(), draining)
    }

    /// Takes the state that a peer told, in answer to an exchange sent at `sent_at` or by itself.
    pub(crate) fn hear_peer(&self, message: ExchangeMessage, sent_at: Option<ClockTime>) {
        let is_draining = message.stage == PeerStage::Draining;
        if let Some(routes) = self.route_store.table() {
            leaving_news::mark_told(&routes, &message.draining, self.clock.now());
        }
        self.members()
            .record_answer(&message.sender, is_draining, self.clock.now());
        self.configuration
            .observe(SheetInput::PeerMessage { message, sent_at });
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.stage.get() == LifecycleStage::Draining
    }

    /// Notes that the process was paused: earlier knowledge is not used until it is confirmed again.
    pub(crate) fn note_pause(&self, pause: Duration) {
        warn!(pause_ms = pause.as_millis() as u64; "the process was paused; confirming its state again");
        counter!("anvilhub_pauses_total").increment(1);
        self.pool.doubt_all();
        // Wakes the controller, which compares the end of the last pause with the one it knows.
        self.configuration.observe(SheetInput::Tick);
    }

    /// Waits until the sheet in force may be used, for at most half of the time until `deadline`. Detects a
    /// pause itself, because this thread may resume before the one that beats.
    pub(crate) async fn confirm_sheet(&self, deadline: ClockTime) -> bool {
        let now = self.clock.now();
        if let Some(pause) = self.pause.detect_pause(now) {
            self.note_pause(pause);
        }
        if self.is_confirmed() {
            return true;
        }
        let patience = deadline.since(now) / 2;
        let resumed_at = || self.pause.resumed_at();
        self.configuration.wait_ready(patience, resumed_at).await
    }

    /// Says whether the sheet in force is confirmed since the last pause that any thread has detected.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.configuration.is_ready(self.pause.resumed_at())
    }

    /// Says whether the process was paused after `time`.
    pub(crate) fn was_paused_since(&self, time: ClockTime) -> bool {
        if let Some(pause) = self.pause.detect_pause(self.clock.now()) {
            self.note_pause(pause);
        }
        self.pause
            .resumed_at()
            .is_some_and(|resumed_at| resumed_at > time)
    }
}

fn ticket_table(settings: &DaemonSettings, incarnation: Incarnation) -> TicketTable {
    let identity = TicketIdentity {
        instance: settings.instance.clone(),
        address: settings.peer_address,
        incarnation,
    };
    let limits = TicketLimits {
        lifetime: settings.ticket_lifetime,
        retention: settings.ticket_retention,
        ..TicketLimits::default()
    };
    TicketTable::new(identity, limits)
}

/// Marks one request as in flight.
pub(crate) struct RequestGuard(Arc<EntryContext>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
