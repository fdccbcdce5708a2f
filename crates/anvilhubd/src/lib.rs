//! The daemon `anvilhubd`, which performs the I/O for the decisions that `anvilhub-coord` makes.

mod admission;
mod caller;
mod clock;
mod context;
mod controllers;
mod daemon;
mod daemon_command;
mod fanout;
mod filters;
pub mod fleet;
pub mod gateway;
mod lifecycle;
mod logging;
mod operator;
mod peer;
mod pool;
mod retry_pause;
mod routes;
mod settings;
mod settings_error;
mod tickets;

pub use daemon::run;
pub use daemon_command::{DaemonCommand, EXIT_FAILURE, EXIT_SETTINGS, EXIT_USAGE};
pub use logging::{LineBudget, LineWriter};
pub use settings::DaemonSettings;
pub use settings_error::SettingsError;
