//! Sheets: the configuration documents that operators publish, with their checks and comparisons.

mod accepted_sheet;
mod checked_sheet;
mod document_shape;
mod draft_sheet;
mod packed_sheet;
mod range_check;
mod replica_spec;
mod route_policy;
mod service_diff;
mod service_digests;
mod service_spec;
mod shard_diff;
mod shard_spec;
mod sheet_check;
mod sheet_diff;
pub(crate) mod sheet_fault;
mod sheet_stamp;
mod sheet_transition;
mod value_change;

pub use crate::border::sheet::{RepeatPolicy, RouteMode, SheetDocument, UrgencyClass};
pub use accepted_sheet::AcceptedSheet;
pub use checked_sheet::CheckedSheet;
pub use draft_sheet::{DraftSheet, MAX_SHEET_BYTES};
pub use packed_sheet::MAX_UNPACKED_BYTES;
pub use replica_spec::ReplicaSpec;
pub use route_policy::RoutePolicy;
pub use service_diff::ServiceDiff;
pub use service_digests::ServiceDigests;
pub use service_spec::ServiceSpec;
pub use shard_diff::ShardDiff;
pub use shard_spec::ShardSpec;
pub use sheet_check::{MAX_DEADLINE_MS, MAX_SHEET_VERSION, SheetCheck};
pub use sheet_diff::SheetDiff;
pub use sheet_fault::SheetFault;
pub use sheet_stamp::SheetStamp;
pub use sheet_transition::SheetTransition;
pub use value_change::ValueChange;

use packed_sheet::PackedSheet;

/// Result of checking a sheet: every fault, not only the first.
pub type Result<T, E = Vec<SheetFault>> = std::result::Result<T, E>;
