//! Sheets: what operators ask of the tier.

mod checked_sheet;
mod replica_spec;
mod route_policy;
mod service_spec;
mod shard_spec;
mod sheet_fault;

pub use crate::border::sheet::{RepeatPolicy, RouteMode, SheetDocument, UrgencyClass};
pub use checked_sheet::CheckedSheet;
pub use replica_spec::ReplicaSpec;
pub use route_policy::RoutePolicy;
pub use service_spec::ServiceSpec;
pub use shard_spec::ShardSpec;
pub use sheet_fault::SheetFault;

/// Result of checking a sheet: every fault, not only the first.
pub type Result<T, E = Vec<SheetFault>> = std::result::Result<T, E>;
