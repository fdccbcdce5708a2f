use std::time::Duration;

use crate::time::ClockTime;

/// Buckets per doubling of the latency; the error of a quantile is below 10%.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Covers latencies up to about 16 s.
const BUCKET_COUNT: usize = 192;
/// Age at which the older half of the samples is forgotten, so that a past slowdown stops counting soon.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Latencies of the last 5 to 10 seconds as a histogram.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    current: Vec<u32>,
    previous: Vec<u32>,
    count: u64,
    previous_count: u64,
    rotated: ClockTime,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            current: vec![0; BUCKET_COUNT],
            previous: vec![0; BUCKET_COUNT],
            count: 0,
            previous_count: 0,
            rotated: ClockTime::default(),
        }
    }
}

impl LatencyWindow {
    /// Adds one latency observed at `now`.
    pub fn record(&mut self, now: ClockTime, latency: Duration) {
        self.rotate(now);
        self.current[bucket_of(latency)] += 1;
        self.count += 1;
    }

    /// Number of latencies held.
    pub fn len(&self) -> u64 {
        self.count + self.previous_count
    }

    /// Says whether no latency is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The latency that the fraction `quantile` of the samples does not exceed.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.is_empty() {
            return None;
        }
        let rank = (quantile.clamp(0.0, 1.0) * self.len() as f64)
            .ceil()
            .max(1.0) as u64;
        let mut seen = 0;
        for index in 0..BUCKET_COUNT {
            seen += u64::from(self.current[index]) + u64::from(self.previous[index]);
            if seen >= rank {
                return Some(upper_edge(index));
            }
        }
        None
    }

    fn rotate(&mut self, now: ClockTime) {
        let age = now.since(self.rotated);
        if age < HALF_LIFE {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.previous_count = self.count;
        self.current.fill(0);
        self.count = 0;
        if age >= HALF_LIFE * 2 {
            self.previous.fill(0);
            self.previous_count = 0;
        }
        self.rotated = now;
    }
}

fn bucket_of(latency: Duration) -> usize {
    let micros = latency.as_micros().max(1) as f64;
    let index = (micros.log2() * BUCKETS_PER_OCTAVE) as usize;
    index.min(BUCKET_COUNT - 1)
}

fn upper_edge(index: usize) -> Duration {
    let micros = ((index + 1) as f64 / BUCKETS_PER_OCTAVE).exp2();
    Duration::from_micros(micros as u64)
}
