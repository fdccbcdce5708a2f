//! Tests of the daemon, one file a feature.

mod settings_check;
