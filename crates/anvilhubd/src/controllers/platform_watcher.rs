use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilhub_coord::configuration::{ReaderElection, SheetInput};
use anvilhub_coord::ids::PlatformRevision;
use eyre::Result;
use log::{debug, warn};
use metrics::counter;

use crate::context::EntryContext;

use super::{PlatformClient, controller_thread};

/// How long one watch waits for a newer sheet.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed read, so that a platform outage costs few calls.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Pause of an instance that does not watch; peers tell it of new sheets meanwhile.
const STANDBY_PAUSE: Duration = Duration::from_secs(30);

/// Watches the platform's sheet, if this instance is one of its readers.
pub(crate) struct PlatformWatcher {
    context: Arc<EntryContext>,
    client: PlatformClient,
    election: ReaderElection,
}

impl PlatformWatcher {
    pub(crate) fn new(context: Arc<EntryContext>) -> Self {
        let client = PlatformClient::new(context.settings.platform_address);
        Self {
            context,
            client,
            election: ReaderElection::default(),
        }
    }

    pub(crate) fn spawn(self) -> Result<()> {
        controller_thread::start("platform", move || self.run())
    }

    fn run(self) {
        let mut revision = None;
        loop {
            self.watch(&mut revision);
            if !self.is_reader() {
                debug!("other instances watch the platform");
                thread::sleep(STANDBY_PAUSE);
            }
        }
    }

    fn watch(&self, revision: &mut Option<PlatformRevision>) {
        let asked_at = self.context.clock.now();
        // A restarted platform may count from a low revision, so an instance that has not confirmed its sheet
        // reads the present value and does not wait for a later one.
        let after = revision.filter(|_| self.context.configuration.is_ready());
        match self.client.watch_sheet(after, WATCH_WAIT) {
            Ok(Some(value)) => {
                *revision = Some(value.revision);
                self.context
                    .configuration
                    .observe(SheetInput::PlatformValue {
                        asked_at,
                        revision: value.revision,
                        bytes: value.value.into_bytes(),
                    });
                if after.is_none() {
                    thread::sleep(RETRY_PAUSE);
                }
            }
            Ok(None) => {}
            Err(error) => {
                counter!("anvilhub_platform_failures_total", "read" => "sheet").increment(1);
                warn!("the configuration service cannot be read: {error:#}");
                self.context
                    .configuration
                    .observe(SheetInput::PlatformUnreachable);
                *revision = None;
                thread::sleep(RETRY_PAUSE);
            }
        }
    }

    fn is_reader(&self) -> bool {
        let now = self.context.clock.now();
        let members = self.context.members();
        let settings = &self.context.settings;
        self.election.is_reader(
            &settings.instance,
            &settings.failure_domain,
            members.domains(now),
        )
    }
}
