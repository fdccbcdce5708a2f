use std::collections::VecDeque;
use std::time::Duration;

use anvilhub_coord::border::upstream::{HealthReport, LoadReport};
use tokio::time::Instant;

/// Maximum number of samples: 20 s at one sample every 20 ms.
const MAX_SAMPLES: usize = 1_000;

/// Past health and load reports, for endpoints that report old data.
#[derive(Debug, Default)]
pub(crate) struct ReportHistory {
    samples: VecDeque<ReportSample>,
}

/// The reports of a replica at one point in time, without overrides.
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

    /// Returns the sample from `lag` before `current`, or the oldest one if none is that old.
    pub(crate) fn lagged_sample(&self, current: ReportSample, lag: Duration) -> ReportSample {
        if lag.is_zero() {
            return current;
        }
        // The subtraction fails if the lag is longer than the clock has been running.
        let index = current.at.checked_sub(lag).map_or(0, |lagged_at| {
            self.samples
                .partition_point(|sample| sample.at <= lagged_at)
                .saturating_sub(1)
        });
        self.samples.get(index).cloned().unwrap_or(current)
    }
}
