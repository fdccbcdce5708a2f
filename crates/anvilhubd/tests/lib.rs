//! Tests of the daemon, one file per feature.

mod admission_refusals;
mod bounded_log;
mod caller_input;
mod crashing_requests;
mod fixture;
mod hedged_requests;
mod leaving_upstreams;
mod owned_shards;
mod partial_answers;
mod platform_reads;
mod settings_check;
mod silent_connections;
mod snapshot_choice;
mod ticket_resends;
