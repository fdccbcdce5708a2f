use std::time::Duration;

use anvilhub_coord::fleet::FeedUpdate;
use anvilhub_coord::ids::PlatformRevision;

use crate::gateway::Gateway;

use super::Result;

/// The platform as a source of routes and upstreams.
pub trait PlatformFeed: Send + 'static {
    /// Reads all values.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer with them.
    fn read_all(&mut self) -> Result<FeedUpdate>;

    /// Waits up to `wait` for changes after `after`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer, or no longer has these changes.
    fn watch(&mut self, after: PlatformRevision, wait: Duration) -> Result<FeedUpdate>;

    /// Decodes changes, whoever read them, and hands them to the gateway.
    fn publish(&mut self, news: &FeedUpdate, gateway: &Gateway);
}
