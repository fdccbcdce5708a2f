//! Tests of the crate, one file a feature.
