//! Instances that act together: they find one another through seeds, and one of them reads the platform for the
//! others of its failure domain.

mod exchange_message;
mod feed_error;
mod fleet_api;
mod fleet_beat;
mod fleet_node;
mod fleet_server;
mod fleet_settings;
mod follow_message;
mod news_thread;
mod platform_feed;

pub use feed_error::FeedError;
pub use fleet_settings::FleetSettings;
pub use platform_feed::PlatformFeed;

pub(crate) use fleet_beat::FleetBeat;
pub(crate) use fleet_node::FleetNode;
pub(crate) use fleet_server::FleetServer;
pub(crate) use news_thread::NewsThread;

use exchange_message::ExchangeAnswer;
use fleet_api::{FleetApiClient, FleetApiServer};
use follow_message::{FollowAnswer, FollowCall};

/// Result of reading the platform.
pub type Result<T, E = FeedError> = std::result::Result<T, E>;
