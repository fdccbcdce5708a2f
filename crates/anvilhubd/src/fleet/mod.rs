//! Cooperation of the instances that run the gateway. They find each other through seeds, and one instance of each
//! failure domain reads the platform for the others.

mod exchange_answer;
mod feed_error;
mod feed_state;
mod feed_thread;
mod fleet_api;
mod fleet_server;
mod fleet_settings;
mod fleet_state;
mod follow_answer;
mod follow_call;
mod gossip_loop;
mod limit_state;
mod own_reads;
mod platform_feed;
mod reader_update;
mod sharer_cache;
mod warmup_state;

pub use feed_error::FeedError;
pub use fleet_settings::FleetSettings;
pub use platform_feed::PlatformFeed;

pub(crate) use feed_thread::FeedThread;
pub(crate) use fleet_server::FleetServer;
pub(crate) use fleet_state::FleetState;
pub(crate) use gossip_loop::GossipLoop;

use exchange_answer::ExchangeAnswer;
use feed_state::FeedState;
use fleet_api::{FleetApiClient, FleetApiServer};
use follow_answer::FollowAnswer;
use follow_call::FollowCall;
use limit_state::LimitState;
use own_reads::OwnReads;
use reader_update::ReaderUpdate;
use sharer_cache::SharerCache;
use warmup_state::WarmupState;

/// Result of reading the platform.
pub type Result<T, E = FeedError> = std::result::Result<T, E>;
