use std::time::Duration;

use tokio::time::sleep;

use super::{Gateway, TrackedUpstream};

/// Maximum time for which an attempt at a cold upstream waits for one of this instance's connections. Its room at the
/// upstream is not used meanwhile.
const MAX_COLD_WAIT: Duration = Duration::from_millis(100);

/// Waits until `upstream` is found cold, looking at it for the first time after `MAX_COLD_WAIT`.
pub(super) async fn wait_cold(gateway: &Gateway, upstream: &TrackedUpstream) {
    loop {
        sleep(MAX_COLD_WAIT).await;
        if gateway.fleet.warmups.is_cold(&upstream.process) {
            return;
        }
    }
}
