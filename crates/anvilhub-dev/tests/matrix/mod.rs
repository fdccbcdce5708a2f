//! Fault tests with real processes: one file per guarantee, one function per fault.

mod answer_check;
mod at_most_once;
mod config_in_force;
mod graceful_stop;
mod leaving_upstream;
mod leaving_upstream_tickets;
mod one_snapshot;
mod own_answer;
mod true_coverage;
mod true_not_run;
