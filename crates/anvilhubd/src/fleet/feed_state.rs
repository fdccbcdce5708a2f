use anvilhub_coord::fleet::{FeedLog, FeedOutcome, FeedUpdate};
use anvilhub_coord::ids::PlatformEra;
use anvilhub_coord::time::ClockTime;
use log::{info, warn};

/// The platform's values and their changes, and when the platform was last found unreachable.
#[derive(Debug, Default)]
pub(super) struct FeedState {
    pub(super) log: FeedLog,
    /// When the platform was last found unreachable; `None` if it never was.
    pub(super) last_outage: Option<ClockTime>,
    /// When this instance last read the platform itself; `None` if it never did, or if its last read failed.
    pub(super) last_own_read: Option<ClockTime>,
    /// End of the pause after a failed read of this instance; `None` if its last read succeeded.
    pub(super) own_read_not_before: Option<ClockTime>,
}

impl FeedState {
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
