//! Controllers: threads that keep the shared state up to date.

mod config_controller;
mod member_controller;
mod platform_client;
mod upstream_controller;

pub(crate) use config_controller::ConfigController;
pub(crate) use member_controller::MemberController;
pub(crate) use platform_client::PlatformClient;
pub(crate) use upstream_controller::UpstreamController;
