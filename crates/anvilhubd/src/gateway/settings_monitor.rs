use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use log::{error, info, warn};
use metrics::gauge;

use super::{SettingsReport, SettingsSource};

/// Maximum time until a change of the settings that no signal announces is noticed.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Looks at the settings while the gateway runs, so that an operator learns of a fault in them before the next start.
pub(super) struct SettingsMonitor<S> {
    source: S,
    /// Receives a message for each signal that the settings have changed.
    signals: Receiver<()>,
}

impl<S: SettingsSource> SettingsMonitor<S> {
    pub(super) fn new(source: S, signals: Receiver<()>) -> Self {
        Self { source, signals }
    }

    /// Runs until the sender of the signals is dropped.
    pub(super) fn run(mut self) {
        loop {
            if let Some(report) = self.source.poll_change() {
                publish(&report);
            }
            if self.signals.recv_timeout(POLL_INTERVAL) == Err(RecvTimeoutError::Disconnected) {
                return;
            }
        }
    }
}

fn publish(report: &SettingsReport) {
    let as_gauge = |holds| f64::from(u8::from(holds));
    gauge!("anvilhub_settings_problems").set(report.problems.len() as f64);
    gauge!("anvilhub_settings_startable").set(as_gauge(report.failure.is_none()));
    gauge!("anvilhub_settings_pending").set(as_gauge(report.is_pending));
    for problem in &report.problems {
        warn!("{problem}");
    }
    if let Some(reason) = &report.failure {
        error!(reason:%; "the next start will fail: the settings cannot be used");
    } else if report.is_pending {
        info!("changed settings take effect at the next start");
    }
}
