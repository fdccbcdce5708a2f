//! Decisions for opaque requests: which route a request takes, which upstream gets it, when it is sent again,
//! when a gathered answer is complete enough, and when a request is turned away.

mod absence_rule;
mod answer_time;
mod caller_aim;
mod caller_way;
mod departure_state;
mod gather_cut;
mod gather_rule;
mod hedge_rule;
mod host_name;
mod part_state;
mod replica_gauge;
mod replica_rank;
mod retry_advice;
mod route_catalog;
mod route_error;
mod route_name;
mod route_rule;
mod route_target;
mod skip_rule;
mod slot_load;
mod split_wheel;
mod top_records;
mod upstream_entry;
mod wake_lag;
mod weighted_service;

pub use absence_rule::AbsenceRule;
pub use answer_time::AnswerTime;
pub use caller_aim::CallerAim;
pub use caller_way::CallerWay;
pub use departure_state::DepartureState;
pub use gather_cut::{CutVerdict, GatherCut};
pub use gather_rule::GatherRule;
pub use hedge_rule::HedgeRule;
pub use host_name::HostName;
pub use part_state::PartState;
pub use replica_gauge::{FailureKind, ReplicaGauge};
pub use replica_rank::{RankedReplica, ReplicaRank};
pub use retry_advice::RetryAdvice;
pub use route_catalog::{CallerLimits, RouteCatalog, ServiceLimits};
pub use route_error::RouteError;
pub use route_name::RouteName;
pub use route_rule::RouteRule;
pub use route_target::RouteTarget;
pub use skip_rule::SkipRule;
pub use slot_load::SlotLoad;
pub use split_wheel::SplitWheel;
pub use top_records::{RECORD_BYTES, TopRecords};
pub use upstream_entry::UpstreamEntry;
pub use wake_lag::WakeLag;
pub use weighted_service::WeightedService;

/// Result of a route decision.
pub type Result<T, E = RouteError> = std::result::Result<T, E>;
