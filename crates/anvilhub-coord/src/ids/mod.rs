//! Newtypes for identifiers, versions, sizes, limits and rates.

mod byte_size;
mod call_rate;
mod caller_name;
mod connection_limit;
mod crash_id;
mod failure_domain;
mod id_error;
mod incarnation;
mod instance_id;
mod millis_span;
mod platform_era;
mod platform_place;
mod platform_revision;
pub(crate) mod real_number;
mod region_name;
mod request_fingerprint;
mod request_id;
mod seconds_span;
mod service_name;
mod shard_name;
mod sheet_digest;
mod sheet_version;
mod slot_count;
mod snapshot_id;
pub(crate) mod text_id;
mod ticket_number;
mod time_span;
mod transfer_price;
mod upstream_id;
mod whole_number;

pub use byte_size::ByteSize;
pub use call_rate::CallRate;
pub use caller_name::CallerName;
pub use connection_limit::ConnectionLimit;
pub use crash_id::CrashId;
pub use failure_domain::FailureDomain;
pub use id_error::IdError;
pub use incarnation::Incarnation;
pub use instance_id::InstanceId;
pub use millis_span::MillisSpan;
pub use platform_era::PlatformEra;
pub use platform_place::PlatformPlace;
pub use platform_revision::PlatformRevision;
pub use region_name::RegionName;
pub use request_fingerprint::RequestFingerprint;
pub use request_id::RequestId;
pub use seconds_span::SecondsSpan;
pub use service_name::ServiceName;
pub use shard_name::ShardName;
pub use sheet_digest::SheetDigest;
pub use sheet_version::SheetVersion;
pub use slot_count::SlotCount;
pub use snapshot_id::SnapshotId;
pub use ticket_number::TicketNumber;
pub use transfer_price::TransferPrice;
pub use upstream_id::UpstreamId;
pub use whole_number::deserialize_whole;

pub(crate) use text_id::is_text_id;

/// Result of parsing an identifier or a digest.
pub type Result<T, E = IdError> = std::result::Result<T, E>;
