use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use anvilhub_coord::border::platform::{InstanceEntry, InstanceList, InstanceRole, InstanceState};
use anvilhub_coord::ids::{Incarnation, InstanceId};
use anvilhub_coord::sheet::{CheckedSheet, ReplicaSpec, ShardSpec};
use anvilhub_coord::ticket::{TicketIdentity, TicketLimits, TicketTable};
use arc_swap::{ArcSwap, ArcSwapOption};
use rand::seq::SliceRandom;
use tokio::sync::Semaphore;

use crate::DaemonSettings;
use crate::clock::DaemonClock;
use crate::fanout::{OwnerTable, SubRequestIds};
use crate::lifecycle::StageCell;
use crate::peer::PeerClients;
use crate::pool::UpstreamPool;
use crate::routes::{EntryDivision, RouteStore, RouteTable};
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
    pub(crate) pool: UpstreamPool,
    pub(crate) route_store: RouteStore,
    pub(crate) division: ArcSwap<EntryDivision>,
    pub(crate) peers: PeerClients,
    pub(crate) owners: OwnerTable,
    pub(crate) sub_ids: SubRequestIds,
    pub(crate) cancels: Semaphore,
    pub(crate) tickets: Arc<TicketService>,
    requests: AtomicUsize,
}

impl EntryContext {
    pub(crate) fn new(settings: DaemonSettings, clock: DaemonClock, stage: StageCell) -> Arc<Self> {
        let pool = UpstreamPool::new(&settings, clock);
        let peers = PeerClients::new(settings.connect_timeout);
        let tickets = Arc::new(TicketService::new(ticket_table(&settings)));
        let sub_ids = SubRequestIds::new(&settings.instance, random_number());
        Arc::new(Self {
            settings,
            clock,
            stage,
            sheet: ArcSwapOption::empty(),
            instances: ArcSwapOption::empty(),
            pool,
            route_store: RouteStore::new(clock),
            division: ArcSwap::default(),
            peers,
            owners: OwnerTable::default(),
            sub_ids,
            cancels: Semaphore::new(MOST_CANCELS),
            tickets,
            requests: AtomicUsize::new(0),
        })
    }

    /// The routes of the sheet in force, `None` until there is one.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        let sheet = self.sheet.load_full()?;
        Some(self.route_store.for_sheet(&sheet))
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard(Arc::clone(self))
    }

    pub(crate) fn requests_in_flight(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Peer address of another instance, as the instance list has it.
    pub(crate) fn peer_address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let list = self.instances.load_full()?;
        let entry = list.instances.iter().find(|entry| entry.id == *instance)?;
        entry.peer_address.as_ref()?.parse().ok()
    }

    /// How shards, slots and connections are divided, by the present list of instances.
    pub(crate) fn divide_entries(&self) -> EntryDivision {
        let own = &self.settings.instance;
        let Some(list) = self.instances.load_full() else {
            return EntryDivision::default();
        };
        let mut live = BTreeMap::new();
        let mut leaving = Vec::new();
        let is_entry = |entry: &&InstanceEntry| entry.role == InstanceRole::Entry;
        for entry in list.instances.iter().filter(is_entry) {
            let address = entry.peer_address.as_ref();
            match (
                address.and_then(|address| address.parse().ok()),
                entry.state,
            ) {
                (Some(address), InstanceState::Live) if entry.id != *own => {
                    live.insert(entry.id.clone(), address);
                }
                (_, InstanceState::Leaving) => leaving.push(entry.id.clone()),
                _ => {}
            }
        }
        EntryDivision::new(own, !leaving.contains(own), live, leaving.clone())
    }

    /// Peer addresses of the other entry instances that are not leaving.
    pub(crate) fn live_peers(&self) -> Vec<SocketAddr> {
        let Some(list) = self.instances.load_full() else {
            return Vec::new();
        };
        let is_peer = |entry: &&InstanceEntry| {
            entry.role == InstanceRole::Entry
                && entry.state == InstanceState::Live
                && entry.id != self.settings.instance
        };
        let peers = list.instances.iter().filter(is_peer);
        peers
            .filter_map(|entry| entry.peer_address.as_ref()?.parse().ok())
            .collect()
    }

    /// Replicas of a shard in the order in which to try them: own failure domain first, then at random.
    pub(crate) fn replicas_by_preference<'a>(&self, shard: &'a ShardSpec) -> Vec<&'a ReplicaSpec> {
        let mut replicas: Vec<_> = shard.replicas.iter().collect();
        replicas.shuffle(&mut rand::rng());
        replicas.sort_by_key(|replica| replica.failure_domain != self.settings.failure_domain);
        replicas
    }
}

fn ticket_table(settings: &DaemonSettings) -> TicketTable {
    let identity = TicketIdentity {
        instance: settings.instance.clone(),
        address: settings.peer_address,
        incarnation: Incarnation(random_number()),
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
