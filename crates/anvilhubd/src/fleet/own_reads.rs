use std::time::Duration;

use anvilhub_coord::fleet::OwnReadRule;
use anvilhub_coord::time::ClockTime;
use rand::Rng;

use super::FleetSettings;

/// Minimum of the pause after a failed read, as a fraction of the longest one. It varies, so that instances that lost the
/// platform together do not read at the same time.
const MIN_PAUSE_FRACTION: f64 = 0.5;

/// How this instance's own reads of the platform ended, and when the next one is due.
#[derive(Debug)]
pub(super) struct OwnReads {
    rule: OwnReadRule,
    max_pause: Duration,
    /// When this instance last read the platform; `None` if it never did, or if its last read failed.
    last_success: Option<ClockTime>,
    /// End of the pause after a failed read; `None` if the last read succeeded.
    not_before: Option<ClockTime>,
}

impl OwnReads {
    pub(super) fn new(settings: &FleetSettings) -> Self {
        Self {
            rule: OwnReadRule {
                max_unconfirmed: settings.stale_after,
            },
            max_pause: settings.max_read_backoff,
            last_success: None,
            not_before: None,
        }
    }

    /// Records a read that brought current values.
    pub(super) fn record_success(&mut self, now: ClockTime) {
        self.last_success = Some(now);
        self.not_before = None;
    }

    /// Records a read that the platform did not answer.
    pub(super) fn record_failure(&mut self, now: ClockTime) {
        self.last_success = None;
        self.postpone(now);
    }

    /// Records a read that brought nothing that can be used.
    pub(super) fn postpone(&mut self, now: ClockTime) {
        let fraction = rand::rng().random_range(MIN_PAUSE_FRACTION..=1.0);
        self.not_before = Some(now + self.max_pause.mul_f64(fraction));
    }

    /// Returns the time until this instance reads the platform itself. `last_contact` is the time of the platform's last
    /// answer as far as it can be proved.
    pub(super) fn time_until_due(
        &self,
        now: ClockTime,
        last_contact: Option<ClockTime>,
    ) -> Duration {
        self.rule.time_until_due(now, last_contact, self.not_before)
    }

    /// Returns whether other instances that cannot reach the platform are cut off from it.
    pub(super) fn outweigh_others(&self, now: ClockTime) -> bool {
        self.rule.outweighs_others(now, self.last_success)
    }
}
