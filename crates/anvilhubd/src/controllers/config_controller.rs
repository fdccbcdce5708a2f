use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilhub_coord::border::platform::ConfigValue;
use anvilhub_coord::ids::PlatformRevision;
use anvilhub_coord::sheet::CheckedSheet;
use crossbeam::channel::Sender;
use eyre::{Result, WrapErr};
use log::{error, info, warn};

use crate::context::EntryContext;

use super::PlatformClient;

/// How long one watch waits for a newer sheet.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed read, so that a platform outage costs few calls.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Watches the platform's sheet and puts accepted sheets in force.
pub(crate) struct ConfigController {
    context: Arc<EntryContext>,
    client: PlatformClient,
    accepted: Sender<()>,
}

impl ConfigController {
    pub(crate) fn new(context: Arc<EntryContext>, accepted: Sender<()>) -> Self {
        let client = PlatformClient::new(context.settings.platform_address);
        Self {
            context,
            client,
            accepted,
        }
    }

    pub(crate) fn spawn(self) -> Result<()> {
        thread::Builder::new()
            .name("configuration".to_owned())
            .spawn(move || self.run())
            .wrap_err("cannot start the configuration controller")?;
        Ok(())
    }

    fn run(self) {
        let mut revision = None;
        loop {
            match self.client.watch_sheet(revision, WATCH_WAIT) {
                Ok(Some(value)) => revision = Some(self.consider(&value)),
                Ok(None) => {}
                Err(error) => {
                    warn!("the configuration service cannot be read: {error:#}");
                    thread::sleep(RETRY_PAUSE);
                }
            }
        }
    }

    fn consider(&self, value: &ConfigValue) -> PlatformRevision {
        match CheckedSheet::from_bytes(value.value.as_bytes()) {
            Ok(sheet) => self.accept(sheet),
            Err(faults) => {
                for fault in faults {
                    error!(revision:% = value.revision; "sheet refused: {fault}");
                }
            }
        }
        value.revision
    }

    fn accept(&self, sheet: CheckedSheet) {
        let current = self.context.sheet.load();
        if current
            .as_ref()
            .is_some_and(|current| current.version >= sheet.version)
        {
            return;
        }
        info!(version:% = sheet.version, digest:% = sheet.digest; "sheet in force");
        self.context.sheet.store(Some(Arc::new(sheet)));
        // A full channel means that the daemon knows already.
        let _ = self.accepted.try_send(());
    }
}
