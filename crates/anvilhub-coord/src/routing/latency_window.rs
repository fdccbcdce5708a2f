use std::time::Duration;

use crate::time::ClockTime;

/// Buckets per doubling of the latency; the error of a quantile is below 10%.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Enough buckets for latencies up to about 16 s.
const BUCKET_COUNT: usize = 192;
/// Time covered by each of the two histograms, so that samples of a past slowdown are dropped soon.
const ROTATION_INTERVAL: Duration = Duration::from_secs(5);

/// Histogram of the latencies of the last 5 to 10 seconds.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    current: Vec<u32>,
    previous: Vec<u32>,
    current_count: u64,
    previous_count: u64,
    rotated_at: ClockTime,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            current: vec![0; BUCKET_COUNT],
            previous: vec![0; BUCKET_COUNT],
            current_count: 0,
            previous_count: 0,
            rotated_at: ClockTime::default(),
        }
    }
}

impl LatencyWindow {
    /// Records a latency that was observed at `now`.
    pub fn record(&mut self, now: ClockTime, latency: Duration) {
        self.rotate(now);
        self.current[bucket_index(latency)] += 1;
        self.current_count += 1;
    }

    /// Returns the number of recorded latencies.
    pub fn len(&self) -> u64 {
        self.current_count + self.previous_count
    }

    /// Returns whether no latency is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the latency that the fraction `quantile` of the samples does not exceed, or `None` without samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.is_empty() {
            return None;
        }
        let rank = (quantile.clamp(0.0, 1.0) * self.len() as f64)
            .ceil()
            .max(1.0) as u64;
        let mut cumulative_count = 0;
        for index in 0..BUCKET_COUNT {
            cumulative_count += u64::from(self.current[index]) + u64::from(self.previous[index]);
            if cumulative_count >= rank {
                return Some(bucket_upper_bound(index));
            }
        }
        None
    }

    fn rotate(&mut self, now: ClockTime) {
        let age = now.since(self.rotated_at);
        if age < ROTATION_INTERVAL {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.previous_count = self.current_count;
        self.current.fill(0);
        self.current_count = 0;
        if age >= ROTATION_INTERVAL * 2 {
            self.previous.fill(0);
            self.previous_count = 0;
        }
        self.rotated_at = now;
    }
}

fn bucket_index(latency: Duration) -> usize {
    let micros = latency.as_micros().max(1) as f64;
    let index = (micros.log2() * BUCKETS_PER_OCTAVE) as usize;
    index.min(BUCKET_COUNT - 1)
}

fn bucket_upper_bound(index: usize) -> Duration {
    let micros = ((index + 1) as f64 / BUCKETS_PER_OCTAVE).exp2();
    Duration::from_micros(micros as u64)
}
