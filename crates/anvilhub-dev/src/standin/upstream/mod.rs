//! Stand-ins for the upstreams of a sheet.

mod byte_injector;
mod connection_guard;
mod connection_service;
mod effect_record;
mod fault_stream;
mod fleet_command;
mod injected_fault;
mod lifecycle_state;
mod replica_action;
mod replica_server;
mod replica_settings;
mod replica_state;
mod report_history;
mod request_counts;
mod row_source;
mod service_time_sampler;
mod sub_request_task;
mod upstream_fleet;

pub use effect_record::EffectRecord;
pub use fleet_command::FleetCommand;
pub use injected_fault::{FaultKind, InjectedFault};
pub use replica_action::{ReplicaAction, SilenceMode};
pub use replica_settings::ReplicaSettings;
pub use request_counts::RequestCounts;
pub use row_source::generate_rows;
pub use upstream_fleet::UpstreamFleet;
