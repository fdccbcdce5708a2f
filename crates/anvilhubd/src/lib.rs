//! The daemon `anvilhubd`, which performs the I/O for the decisions that `anvilhub-coord` makes.

mod admission;
mod bounded_body;
mod caller;
mod controllers;
mod crash_state;
mod daemon;
mod daemon_clock;
mod daemon_command;
mod daemon_settings;
mod entry_context;
mod fanout;
mod filters;
pub mod fleet;
pub mod gateway;
mod instance_lifecycle;
mod logging;
mod memory;
mod operator;
mod peer;
mod pool;
mod read_backoff;
mod routes;
mod settings_error;
mod tickets;

pub use bounded_body::read_bounded;
pub use daemon::run;
pub use daemon_command::{DaemonCommand, EXIT_FAILURE, EXIT_SETTINGS, EXIT_USAGE};
pub use daemon_settings::DaemonSettings;
pub use logging::{LineBudget, LineWriter};
pub use settings_error::SettingsError;
