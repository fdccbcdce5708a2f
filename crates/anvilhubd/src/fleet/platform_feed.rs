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
    /// Fails if the platform does not answer, or answers with a failure.
    fn read_all(&mut self) -> Result<FeedUpdate>;

    /// Waits for changes after the revision `after`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer, or no longer has these changes.
    fn watch(&mut self, after: PlatformRevision, wait: Duration) -> Result<FeedUpdate>;

    /// Decodes an update, from the platform or from another instance, and applies it to the gateway.
    fn publish(&mut self, update: &FeedUpdate, gateway: &Gateway);
}
