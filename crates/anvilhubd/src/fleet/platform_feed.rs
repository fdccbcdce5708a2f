use std::time::Duration;

use anvilhub_coord::fleet::FeedUpdate;
use anvilhub_coord::ids::PlatformRevision;

use crate::gateway::Gateway;

use super::Result;

/// The platform as a source of routes and upstreams.
pub trait PlatformFeed: Send + 'static {
    /// Returns all values.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer, or answers with a failure.
    fn read_all(&mut self) -> Result<FeedUpdate>;

    /// Returns the changes after the revision `after`. Waits for them for at most `wait` and returns an update without
    /// records if there are none.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer, answers with a failure, or no longer has all changes after `after`.
    fn watch(&mut self, after: PlatformRevision, wait: Duration) -> Result<FeedUpdate>;

    /// Decodes an update, from the platform or from another instance, and applies it to the gateway.
    fn publish(&mut self, update: &FeedUpdate, gateway: &Gateway);
}
