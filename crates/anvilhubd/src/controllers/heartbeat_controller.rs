use std::sync::Arc;
use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::entry_context::EntryContext;

use super::controller_thread;

/// Interval between heartbeats. It is well below the shortest useful pause limit.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Records heartbeats, from which every thread can detect that the process was paused.
pub(crate) struct HeartbeatController {
    context: Arc<EntryContext>,
}

impl HeartbeatController {
    pub(crate) fn new(context: Arc<EntryContext>) -> Self {
        Self { context }
    }

    pub(crate) fn spawn(self) -> Result<()> {
        controller_thread::start("heartbeat", move || self.run())
    }

    fn run(self) {
        loop {
            let now = self.context.clock.now();
            if let Some(pause) = self.context.pause_detector.record_heartbeat(now) {
                self.context.handle_pause(pause);
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }
}
