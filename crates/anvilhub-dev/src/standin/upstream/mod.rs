//! Stand-ins of the upstreams of a sheet.

mod answer_fault;
mod connection_gate;
mod fault_stream;
mod fleet_command;
mod replica_action;
mod replica_counts;
mod replica_life;
mod replica_server;
mod replica_settings;
mod replica_state;
mod report_history;
mod row_source;
mod service_time;
mod sub_service;
mod upstream_fleet;
mod work_run;

pub use answer_fault::{AnswerFault, FaultKind};
pub use fleet_command::FleetCommand;
pub use replica_action::{ReplicaAction, SilenceMode};
pub use replica_counts::{EffectRecord, RequestCounts};
pub use replica_settings::ReplicaSettings;
pub use row_source::rows_of;
pub use upstream_fleet::UpstreamFleet;
