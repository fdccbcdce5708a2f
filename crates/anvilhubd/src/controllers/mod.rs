//! Controllers: background threads that keep the shared state up to date.

mod config_controller;
mod config_state;
mod controller_thread;
mod heartbeat_controller;
mod member_controller;
mod peer_exchange;
mod platform_client;
mod sheet_watcher;
mod upstream_controller;
mod watch_cursor;

pub(crate) use config_controller::ConfigController;
pub(crate) use config_state::ConfigState;
pub(crate) use heartbeat_controller::HeartbeatController;
pub(crate) use member_controller::MemberController;
pub(crate) use peer_exchange::PeerExchange;
pub(crate) use platform_client::PlatformClient;
pub(crate) use sheet_watcher::SheetWatcher;
pub(crate) use upstream_controller::UpstreamController;
pub(crate) use watch_cursor::WatchCursor;
