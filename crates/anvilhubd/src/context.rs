use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use anvilhub_coord::ids::{ServiceName, ShardName};
use anvilhub_coord::sheet::CheckedSheet;
use arc_swap::ArcSwapOption;
use tokio::sync::Semaphore;

use crate::DaemonSettings;
use crate::clock::DaemonClock;
use crate::fanout::{OwnerTable, SubRequestIds};
use crate::lifecycle::StageCell;
use crate::peer::PeerClients;
use crate::pool::UpstreamPool;
use crate::routes::{RouteStore, RouteTable};

/// Cancellations on their way to upstreams at once; more are left out.
const MOST_CANCELS: usize = 64;

/// State that the request path, the controllers and the operator endpoints share.
pub(crate) struct EntryContext {
    pub(crate) settings: DaemonSettings,
    pub(crate) clock: DaemonClock,
    pub(crate) stage: StageCell,
    pub(crate) sheet: ArcSwapOption<CheckedSheet>,
    pub(crate) pool: UpstreamPool,
    pub(crate) route_store: RouteStore,
    pub(crate) peers: PeerClients,
    pub(crate) owners: OwnerTable,
    pub(crate) sub_ids: SubRequestIds,
    pub(crate) cancels: Semaphore,
    requests: AtomicUsize,
}

impl EntryContext {
    pub(crate) fn new(settings: DaemonSettings, clock: DaemonClock, stage: StageCell) -> Arc<Self> {
        let pool = UpstreamPool::new(&settings, clock);
        let peers = PeerClients::new(settings.connect_timeout);
        let sub_ids = SubRequestIds::new(&settings.instance, rand::random());
        Arc::new(Self {
            settings,
            clock,
            stage,
            sheet: ArcSwapOption::empty(),
            pool,
            route_store: RouteStore::new(clock),
            peers,
            owners: OwnerTable::default(),
            sub_ids,
            cancels: Semaphore::new(MOST_CANCELS),
            requests: AtomicUsize::new(0),
        })
    }

    /// The routes of the sheet in force, `None` until there is one.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        let sheet = self.sheet.load_full()?;
        Some(self.route_store.for_sheet(&sheet))
    }

    /// Peer address of the instance that queues for a shard, `None` when it is this one.
    pub(crate) fn owner_of(
        &self,
        _service: &ServiceName,
        _shard: &ShardName,
    ) -> Option<SocketAddr> {
        None
    }

    /// Live instances among which connections and slots are divided, this one included.
    pub(crate) fn live_entries(&self) -> u32 {
        1
    }

    /// Place of this instance in the sorted list of live instances, from zero.
    pub(crate) fn entry_rank(&self) -> u32 {
        0
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard(Arc::clone(self))
    }

    pub(crate) fn requests_in_flight(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }
}

/// Marks one request as in flight.
pub(crate) struct RequestGuard(Arc<EntryContext>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
