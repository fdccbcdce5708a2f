//! Stand-in for the platform: the configuration service and the instance list.

mod call_limiter;
mod platform_command;
mod platform_server;
mod watched_value;

pub use platform_command::{OutageMode, PlatformCommand};
pub use platform_server::PlatformServer;
