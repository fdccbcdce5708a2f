//! Tests of the coordination library, one file a feature.

mod answer_gather;
mod gather_properties;
mod key_ranges;
mod matrix;
mod scenario;
mod scenario_files;
mod ticket_search;
mod fleet;
mod gossip_spread;
mod key_ranges;
mod matrix;
mod member_table;
mod pause_detection;
mod shard_owners;
mod sheet_check;
mod sheet_diff;
mod sheet_fetch;
mod sheet_fuzz;
mod sheets;
mod ticket_table;
