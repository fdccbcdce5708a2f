//! Tests of the coordination library, one file a feature.

mod key_ranges;
mod ticket_table;
