//! Tests of the coordination library, one file a feature.

mod answer_gather;
mod gather_properties;
mod key_ranges;
mod matrix;
mod scenario;
mod scenario_files;
mod ticket_search;
mod ticket_table;
