use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilhub_coord::border::platform::InstanceList;
use anvilhub_coord::configuration::SheetInput;
use eyre::Result;
use log::{info, warn};
use metrics::{counter, gauge};

use crate::entry_context::EntryContext;
use crate::read_backoff::ReadBackoff;

use super::{PlatformClient, WatchCursor, controller_thread};

/// Maximum time that one watch waits for a newer list.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);

/// Watches the platform's list of instances and applies it to the membership table.
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
        controller_thread::start("members", move || self.run())
    }

    fn run(self) {
        let mut cursor = WatchCursor::default();
        let mut backoff = ReadBackoff::default();
        self.publish_list_state();
        loop {
            match self
                .client
                .watch_instances(cursor.known_revision(), MAX_WATCH_WAIT)
            {
                Ok(list) => {
                    backoff.reset();
                    self.handle_list(list, &mut cursor);
                }
                Err(error) => {
                    counter!("anvilhub_platform_failures_total", "read" => "instances")
                        .increment(1);
                    warn!("the instance list cannot be read: {error:#}");
                    cursor.reset();
                    thread::sleep(backoff.next_pause());
                }
            }
            self.publish_list_state();
        }
    }

    /// Handles the result of a watch or read; `None` means that the list has not changed.
    fn handle_list(&self, list: Option<InstanceList>, cursor: &mut WatchCursor) {
        let now = self.context.clock.now();
        match list {
            Some(list) if cursor.record_value(list.revision) => self.apply_list(list),
            Some(_) => self.context.members().confirm_list(now),
            None => {
                cursor.record_unchanged();
                self.context.members().confirm_list(now);
            }
        }
    }

    fn apply_list(&self, list: InstanceList) {
        info!(revision:% = list.revision, instances = list.instances.len(); "instance list read");
        let now = self.context.clock.now();
        for instance in self.context.members().apply_list(&list, now) {
            warn!(
                instance:% = instance;
                "ignored a listed instance without a usable peer_address; correct its entry in the list"
            );
        }
        self.context.instance_list.store(Some(Arc::new(list)));
    }

    /// Publishes the age of the list, and the peers that it names.
    fn publish_list_state(&self) {
        let now = self.context.clock.now();
        let (expected_peers, list_age) = {
            let members = self.context.members();
            (members.expected_peers(), members.list_age(now))
        };
        if let Some(age) = list_age {
            gauge!("anvilhub_instance_list_age_seconds").set(age.as_secs_f64());
        }
        if let Some(expected) = expected_peers {
            self.context
                .configuration
                .queue_input(SheetInput::PeersListed(expected));
        }
    }
}
