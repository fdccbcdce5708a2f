//! Fan-out of a request: sends its sub-requests, gathers their answers, and answers the request.

mod batch_call;
mod batch_run;
mod fanout_request;
mod fanout_runner;
mod owner_ping;
mod owner_table;
mod query_fingerprint;
mod request_run;
mod route_report;
mod send_mark;
mod sub_request_attempt;
mod sub_request_ids;
mod sub_request_origin;
mod sub_request_plan;
mod sub_request_result;
mod sub_request_run;
mod time_reserve;

pub(crate) use batch_run::run_batch;
pub(crate) use fanout_runner::FanoutRunner;
pub(crate) use owner_table::OwnerTable;
pub(crate) use query_fingerprint::fingerprint_query;
pub(crate) use route_report::{explain_route, upstream_states};
pub(crate) use sub_request_ids::SubRequestIds;

use batch_call::BatchCall;
use fanout_request::FanoutRequest;
use owner_ping::ping_owner;
use request_run::{GatheredRequest, RequestRun};
use send_mark::SendMark;
use sub_request_attempt::{AttemptResult, SubRequestAttempt};
use sub_request_origin::SubRequestOrigin;
use sub_request_plan::SubRequestPlan;
use sub_request_result::SubRequestResult;
use sub_request_run::{SubRequestOutcome, SubRequestRun};
use time_reserve::{answer_deadline, batch_deadline, time_left_after_hop};
