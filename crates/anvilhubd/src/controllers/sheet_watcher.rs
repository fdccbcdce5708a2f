use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilhub_coord::border::platform::ConfigValue;
use anvilhub_coord::configuration::{ReaderElection, SheetInput};
use anvilhub_coord::time::ClockTime;
use eyre::Result;
use log::warn;
use metrics::counter;

use crate::entry_context::EntryContext;
use crate::read_backoff::ReadBackoff;

use super::{PlatformClient, WatchCursor, controller_thread};

/// Maximum time that one watch waits for a newer sheet. A watch misses a sheet whose revision is lower (see
/// `WatchCursor`). The plain read after the watch finds it, so this time is part of the delay until such a sheet is in
/// force.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(5);
/// Time between reads while the sheet in force is not confirmed.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which an instance that is not a reader checks whether it has become one.
const STANDBY_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the platform's sheet while this instance is elected as a reader or has no confirmed sheet.
pub(crate) struct SheetWatcher {
    context: Arc<EntryContext>,
    client: PlatformClient,
    election: ReaderElection,
}

impl SheetWatcher {
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
        let mut cursor = WatchCursor::default();
        let mut backoff = ReadBackoff::default();
        loop {
            // An instance without a confirmed sheet reads too, because possibly no peer has one.
            let is_confirmed = self.context.is_confirmed();
            if is_confirmed && !self.is_reader() {
                cursor.reset();
                thread::sleep(STANDBY_INTERVAL);
                continue;
            }
            if !is_confirmed {
                cursor.reset();
            }
            self.watch_once(&mut cursor, &mut backoff);
            if !is_confirmed {
                thread::sleep(CONFIRM_INTERVAL);
            }
        }
    }

    /// Watches or reads the sheet once.
    fn watch_once(&self, cursor: &mut WatchCursor, backoff: &mut ReadBackoff) {
        let requested_at = self.context.clock.now();
        match self
            .client
            .watch_sheet(cursor.known_revision(), MAX_WATCH_WAIT)
        {
            Ok(value) => {
                backoff.reset();
                self.handle_value(value, requested_at, cursor);
            }
            Err(error) => {
                counter!("anvilhub_platform_failures_total", "read" => "sheet").increment(1);
                warn!("the configuration service cannot be read: {error:#}");
                let unreachable = SheetInput::PlatformUnreachable;
                self.context.configuration.queue_input(unreachable);
                cursor.reset();
                thread::sleep(backoff.next_pause());
            }
        }
    }

    /// Handles the result of a watch or read; `None` means that the sheet has not changed.
    fn handle_value(
        &self,
        value: Option<ConfigValue>,
        requested_at: ClockTime,
        cursor: &mut WatchCursor,
    ) {
        let Some(value) = value else {
            cursor.record_unchanged();
            return;
        };
        if !cursor.record_value(value.revision) {
            return;
        }
        self.context
            .configuration
            .queue_input(SheetInput::PlatformValue {
                requested_at,
                revision: value.revision,
                bytes: value.value.into_bytes(),
            });
    }

    fn is_reader(&self) -> bool {
        let now = self.context.clock.now();
        let members = self.context.members();
        let settings = &self.context.settings;
        self.election.is_reader(
            &settings.instance,
            &settings.failure_domain,
            members.live_with_domains(now),
        )
    }
}
