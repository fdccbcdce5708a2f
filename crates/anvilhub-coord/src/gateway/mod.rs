//! Decisions for requests that the gateway forwards without interpreting them: the route and the upstream of a request,
//! when it is sent again, when a gathered answer is complete enough, and when a refused caller should retry.

mod answer_deadline;
mod answer_peak;
mod answer_size;
mod caller_delay;
mod caller_latency;
mod capacity_claim;
mod capacity_queue;
mod departed_upstreams;
mod evacuation_state;
mod gather_cutoff;
mod gather_rule;
mod hedge_rule;
mod home_regions;
mod host_name;
mod leaving_state;
mod opening_time;
mod priority_levels;
mod reach_state;
mod region_map;
mod remote_cost;
mod remote_saving;
mod removal_rule;
mod replica_ranker;
mod replica_stats;
mod rest_state;
mod retry_advice;
mod route_catalog;
mod route_error;
mod route_name;
mod route_rule;
mod route_target;
mod send_window;
mod skip_rule;
mod slot_load;
mod spillover_share;
mod sub_request_state;
mod timer_lag;
mod top_records;
mod traffic_splitter;
mod upstream_record;
mod weighted_service;

pub use answer_deadline::AnswerDeadline;
pub use answer_peak::AnswerPeak;
pub use answer_size::AnswerSize;
pub use caller_delay::CallerDelay;
pub use caller_latency::CallerLatency;
pub use capacity_claim::CapacityClaim;
pub use capacity_queue::{
    CapacityDecision, CapacityGrant, CapacityQueue, CapacityRelease, CapacityTicket,
    RejectionReason,
};
pub use departed_upstreams::DepartedUpstreams;
pub use evacuation_state::EvacuationState;
pub use gather_cutoff::{CutoffVerdict, GatherCutoff};
pub use gather_rule::GatherRule;
pub use hedge_rule::HedgeRule;
pub use home_regions::HomeRegions;
pub use host_name::HostName;
pub use leaving_state::LeavingState;
pub use opening_time::OpeningTime;
pub use reach_state::{ReachChange, ReachState};
pub use region_map::RegionMap;
pub use remote_cost::RemoteCost;
pub use remote_saving::RemoteSaving;
pub use removal_rule::RemovalRule;
pub use replica_ranker::{RankedReplica, ReplicaRanker};
pub use replica_stats::{FailureKind, ReplicaStats};
pub use rest_state::RestState;
pub use retry_advice::RetryAdvice;
pub use route_catalog::{CallerLimits, RouteCatalog, ServiceLimits};
pub use route_error::RouteError;
pub use route_name::RouteName;
pub use route_rule::RouteRule;
pub use route_target::RouteTarget;
pub use skip_rule::SkipRule;
pub use slot_load::SlotLoad;
pub use spillover_share::{SpilloverChange, SpilloverShare};
pub use sub_request_state::SubRequestState;
pub use timer_lag::TimerLag;
pub use top_records::{RECORD_BYTES, TopRecords};
pub use traffic_splitter::TrafficSplitter;
pub use upstream_record::UpstreamRecord;
pub use weighted_service::WeightedService;

use priority_levels::PriorityLevels;
use send_window::SendWindow;

/// Result of a route decision.
pub type Result<T, E = RouteError> = std::result::Result<T, E>;
