//! Tests of the coordination library, one file a feature.

mod answer_gather;
mod key_ranges;
mod ticket_table;
