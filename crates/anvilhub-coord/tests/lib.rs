//! Tests of the coordination library, one file a feature.

mod answer_gather;
mod key_ranges;
mod pause_detection;
mod sheet_check;
mod sheet_diff;
mod sheet_fuzz;
mod sheets;
mod ticket_table;
