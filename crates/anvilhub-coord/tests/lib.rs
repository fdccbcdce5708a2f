//! Tests of the coordination library, one file a feature.

mod admission_gate;
mod attempt_rule;
mod connection_ledger;
mod connection_share;
mod ejection_policy;
mod hedge_policy;
mod key_ranges;
mod matrix;
mod owner_health;
mod replica_picker;
mod retry_budget;
mod slot_queue;
mod upstream_view;
