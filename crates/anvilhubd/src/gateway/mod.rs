//! The request path for opaque requests: it forwards them as they are and joins the records of gathered ones.
//!
//! It knows no wire. A face implements [`GatewayWire`] for the headers, and hands over routes and upstreams
//! through [`Gateway`].

mod answer_facts;
mod attempt_end;
mod attempt_guard;
mod attempt_run;
mod fan_outcome;
mod fan_part;
mod fan_plan;
mod fan_run;
mod forward_request;
mod gateway_core;
mod gateway_daemon;
mod gateway_error;
mod gateway_handler;
mod gateway_settings;
mod gateway_wire;
mod link_shelf;
mod link_warmer;
mod part_outcome;
mod ready_handler;
mod relay_handler;
mod relay_head;
mod relay_run;
mod request_facts;
mod request_line;
mod route_state;
mod run_guard;
mod send_cause;
mod send_facts;
mod service_group;
mod serving_table;
mod upstream_feed;
mod upstream_node;

pub use answer_facts::AnswerFacts;
pub use gateway_core::Gateway;
pub use gateway_daemon::run_gateway;
pub use gateway_error::GatewayError;
pub use gateway_settings::GatewaySettings;
pub use gateway_wire::GatewayWire;
pub use request_facts::RequestFacts;
pub use send_facts::SendFacts;

use attempt_end::{AttemptEnd, UpstreamAnswer};
use attempt_guard::AttemptGuard;
use attempt_run::AttemptRun;
use fan_outcome::FanOutcome;
use fan_part::FanPart;
use fan_plan::FanPlan;
use fan_run::FanRun;
use forward_request::ForwardRequest;
use gateway_handler::GatewayHandler;
use link_shelf::LinkShelf;
use link_warmer::LinkWarmer;
use part_outcome::PartOutcome;
use ready_handler::ReadyHandler;
use relay_handler::RelayHandler;
use relay_head::RelayHead;
use relay_run::{RelayEnd, RelayRun};
use request_line::RequestLine;
use route_state::RouteState;
use run_guard::RunGuard;
use send_cause::SendCause;
use service_group::ServiceGroup;
use serving_table::ServingTable;
use upstream_feed::UpstreamFeed;
use upstream_node::UpstreamNode;

/// Result of a gateway operation.
pub type Result<T, E = GatewayError> = std::result::Result<T, E>;
