//! The request path for requests that are forwarded without being interpreted. Answers of gathered requests are merged
//! from the records of several shards.
//!
//! The path is independent of the platform: an adapter implements [`HeaderCodec`] for the platform's headers, and
//! supplies routes and upstreams through [`Gateway`].

mod answer_metadata;
mod attempt_guard;
mod attempt_outcome;
mod attempt_report;
mod attempt_run;
mod caller_watch;
mod cold_wait;
mod connection_queue;
mod connection_warmer;
mod domain_distances;
mod domain_state;
mod domain_table;
mod fanout_outcome;
mod fanout_plan;
mod fanout_run;
mod forwarded_request;
mod gateway_core;
mod gateway_daemon;
mod gateway_error;
mod gateway_handler;
mod gateway_settings;
mod header_codec;
mod idle_connections;
mod reach_monitor;
mod ready_handler;
mod refusal_wait;
mod relay_handler;
mod relay_headers;
mod relay_orders;
mod relay_run;
mod remote_meter;
mod request_log;
mod request_metadata;
mod request_relay;
mod route_state;
mod run_guard;
mod send_cause;
mod send_gate;
mod send_metadata;
mod service_group;
mod service_spillover;
mod serving_table;
mod stop_deadline;
mod sub_request;
mod sub_request_outcome;
mod tracked_upstream;
mod unread_body;
mod upstream_distance;
mod upstream_table;

pub use answer_metadata::AnswerMetadata;
pub use gateway_core::Gateway;
pub use gateway_daemon::run_gateway;
pub use gateway_error::GatewayError;
pub use gateway_settings::GatewaySettings;
pub use header_codec::HeaderCodec;
pub use request_metadata::RequestMetadata;
pub use send_metadata::SendMetadata;

use attempt_guard::AttemptGuard;
use attempt_outcome::{AttemptOutcome, UpstreamAnswer};
use attempt_report::AttemptReport;
use attempt_run::AttemptRun;
use caller_watch::CallerWatch;
use cold_wait::wait_cold;
use connection_queue::{ConnectionGrant, ConnectionQueue};
use connection_warmer::ConnectionWarmer;
use domain_distances::DomainDistances;
use domain_state::DomainState;
use domain_table::DomainTable;
use fanout_outcome::FanoutOutcome;
use fanout_plan::FanoutPlan;
use fanout_run::FanoutRun;
use forwarded_request::ForwardedRequest;
use gateway_handler::GatewayHandler;
use idle_connections::IdleConnections;
use reach_monitor::ReachMonitor;
use ready_handler::ReadyHandler;
use refusal_wait::{RefusalReason, RefusalWait};
use relay_handler::RelayHandler;
use relay_headers::RelayHeaders;
use relay_orders::RelayOrders;
use relay_run::{RelayOutcome, RelayRun};
use remote_meter::RemoteMeter;
use request_log::RequestLog;
use route_state::RouteState;
use run_guard::RunGuard;
use send_cause::SendCause;
use send_gate::SendGate;
use service_group::ServiceGroup;
use service_spillover::ServiceSpillover;
use serving_table::ServingTable;
use stop_deadline::StopDeadline;
use sub_request::SubRequest;
use sub_request_outcome::SubRequestOutcome;
use tracked_upstream::TrackedUpstream;
use unread_body::UnreadBody;
use upstream_distance::UpstreamDistance;
use upstream_table::UpstreamTable;

/// Result of a gateway operation.
pub type Result<T, E = GatewayError> = std::result::Result<T, E>;
