use std::sync::Arc;
use std::thread;
use std::time::Duration;

use eyre::{Result, WrapErr};
use log::{info, warn};

use crate::context::EntryContext;

use super::PlatformClient;

/// How long one watch waits for a newer list.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed read, so that a platform outage costs few calls.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Watches the platform's list of instances.
pub(crate) struct MemberController {
    context: Arc<EntryContext>,
    client: PlatformClient,
}

impl MemberController {
    pub(crate) fn new(context: Arc<EntryContext>) -> Self {
        let client = PlatformClient::new(context.settings.platform_address);
        Self { context, client }
    }

    pub(crate) fn spawn(self) -> Result<()> {
        thread::Builder::new()
            .name("members".to_owned())
            .spawn(move || self.run())
            .wrap_err("cannot start the member controller")?;
        Ok(())
    }

    fn run(self) {
        let mut revision = None;
        loop {
            match self.client.watch_instances(revision, WATCH_WAIT) {
                Ok(Some(list)) => {
                    info!(revision:% = list.revision, instances = list.instances.len(); "instance list read");
                    revision = Some(list.revision);
                    self.context.instances.store(Some(Arc::new(list)));
                }
                Ok(None) => {}
                Err(error) => {
                    warn!("the instance list cannot be read: {error:#}");
                    thread::sleep(RETRY_PAUSE);
                }
            }
        }
    }
}
