use anvilhub_coord::fleet::{FeedLog, FeedOutcome, FeedUpdate};
use anvilhub_coord::ids::PlatformEra;
use anvilhub_coord::time::ClockTime;
use log::{info, warn};

use super::{FleetSettings, OwnReads};

/// The platform's values and their changes, and when the platform was last found unreachable.
#[derive(Debug)]
pub(super) struct FeedState {
    pub(super) log: FeedLog,
    /// When the platform was last found unreachable; `None` if it never was.
    pub(super) last_outage: Option<ClockTime>,
    pub(super) own_reads: OwnReads,
}

impl FeedState {
    /// Creates the state of an instance that has no values yet.
    pub(super) fn new(settings: &FleetSettings) -> Self {
        Self {
            log: FeedLog::default(),
            last_outage: None,
            own_reads: OwnReads::new(settings),
        }
    }

    /// Applies an answer of the platform to this instance's own read.
    pub(super) fn apply_own_read(&mut self, now: ClockTime, update: FeedUpdate) -> FeedOutcome {
        let outcome = self.apply(update);
        match outcome {
            FeedOutcome::Applied { .. } => self.own_reads.record_success(now),
            FeedOutcome::Outdated => self.own_reads.postpone(now),
            FeedOutcome::NeedsFullRead => {}
        }
        outcome
    }

    /// Records that this instance failed to read the platform.
    pub(super) fn record_read_failure(&mut self, now: ClockTime) {
        self.last_outage = Some(now);
        self.own_reads.record_failure(now);
    }

    /// Applies an update. Logs an update that is dropped, and the beginning of an era.
    pub(super) fn apply(&mut self, update: FeedUpdate) -> FeedOutcome {
        let (revision, era) = (update.revision, update.era.map(PlatformEra::get));
        let known = self.log.place().unwrap_or_default();
        let outcome = self.log.apply(update);
        match &outcome {
            FeedOutcome::Applied {
                is_restored: false, ..
            } => {}
            FeedOutcome::Applied { .. } => {
                metrics::counter!("anvilhub_platform_restores_total").increment(1);
                warn!(
                    revision:% = revision, era:? = era, known:% = known.revision, known_era:% = known.era;
                    "the platform was restored from a copy"
                );
            }
            FeedOutcome::Outdated => {
                metrics::counter!("anvilhub_platform_answers_dropped_total").increment(1);
                warn!(
                    revision:% = revision, era:? = era, known:% = known.revision, known_era:% = known.era;
                    "an answer of the platform is older than what is known, and is dropped"
                );
            }
            FeedOutcome::NeedsFullRead => info!(
                revision:% = revision, era:? = era, known:% = known.revision, known_era:% = known.era;
                "the platform was restored from a copy; reading all values"
            ),
        }
        outcome
    }
}
