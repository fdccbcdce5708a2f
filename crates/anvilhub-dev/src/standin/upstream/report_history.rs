use std::collections::VecDeque;
use std::time::Duration;

use anvilhub_coord::border::upstream::{HealthReport, LoadReport};
use tokio::time::Instant;

/// Samples that are kept: 20 s at one sample in 20 ms.
const MAX_SAMPLES: usize = 1_000;

/// Past reports, for endpoints that lag.
#[derive(Debug, Default)]
pub(crate) struct ReportHistory {
    samples: VecDeque<ReportSample>,
}

/// What a replica truly reported at one time.
#[derive(Clone, Debug)]
pub(crate) struct ReportSample {
    pub(crate) at: Instant,
    pub(crate) health: HealthReport,
    pub(crate) load: LoadReport,
}

impl ReportHistory {
    pub(crate) fn record(&mut self, sample: ReportSample) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// The report as it was `lag` before the time of `present`, or the oldest one known.
    pub(crate) fn lagged(&self, present: ReportSample, lag: Duration) -> ReportSample {
        if lag.is_zero() {
            return present;
        }
        // A lag longer than the clock has run shows the oldest report too.
        let index = present.at.checked_sub(lag).map_or(0, |shown_at| {
            self.samples
                .partition_point(|sample| sample.at <= shown_at)
                .saturating_sub(1)
        });
        self.samples.get(index).cloned().unwrap_or(present)
    }
}
