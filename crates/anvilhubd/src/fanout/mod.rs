//! Sub-requests of one request: sending, gathering, answering.

mod batch_call;
mod batch_run;
mod fanout_runner;
mod hop_cost;
mod owner_ping;
mod owner_table;
mod piece_end;
mod request_run;
mod route_report;
mod sub_attempt;
mod sub_origin;
mod sub_query;
mod sub_request_ids;
mod sub_run;

pub(crate) use batch_run::run_batch;
pub(crate) use fanout_runner::FanoutRunner;
pub(crate) use owner_table::OwnerTable;
pub(crate) use route_report::{explain_route, upstream_states};
pub(crate) use sub_request_ids::SubRequestIds;

use batch_call::BatchCall;
use hop_cost::{after_hop, answer_time, batch_time};
use owner_ping::ping_owner;
use piece_end::PieceEnd;
use request_run::{GatheredRequest, RequestRun};
use sub_attempt::{AttemptEnd, SubAttempt};
use sub_origin::SubOrigin;
use sub_query::{QueryBody, SubQuery};
use sub_run::{SubOutcome, SubRun};
