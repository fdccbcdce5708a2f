//! State of the services, shards and upstreams of the sheet in force.

mod entry_division;
mod leaving_announcements;
pub(crate) mod leaving_signals;
mod lock_cell;
mod route_store;
mod route_table;
mod service_route;
mod shard_queue;
mod shard_route;
mod upstream_route;

pub(crate) use entry_division::EntryDivision;
pub(crate) use leaving_announcements::LeavingAnnouncements;
pub(crate) use lock_cell::LockCell;
pub(crate) use route_store::RouteStore;
pub(crate) use route_table::RouteTable;
pub(crate) use service_route::ServiceRoute;
pub(crate) use shard_queue::{ShardQueue, SlotGuard, SlotRefusal};
pub(crate) use shard_route::ShardRoute;
pub(crate) use upstream_route::{UpstreamRoute, names_held_snapshots};
