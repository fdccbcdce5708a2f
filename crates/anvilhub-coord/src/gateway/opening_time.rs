use std::time::Duration;

use crate::time::ClockTime;

/// Time covered by each of the two minima: a distance that has grown is known after at most two of them.
const ROTATION_INTERVAL: Duration = Duration::from_secs(60);

/// Smallest recent time for opening a connection to the upstreams of one failure domain: one round trip of the network.
///
/// Designed for upstreams of uneven speed and instances with a small share of a core: unlike an answer, the opening of a
/// connection contains no work of the upstream, and the minimum leaves out the delays of a busy instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpeningTime {
    current: Option<Duration>,
    previous: Option<Duration>,
    rotated_at: ClockTime,
}

impl OpeningTime {
    /// Records how long it took to open a connection that is open since `now`.
    pub fn record(&mut self, now: ClockTime, time: Duration) {
        if now.since(self.rotated_at) >= ROTATION_INTERVAL {
            self.previous = self.current.take();
            self.rotated_at = now;
        }
        self.current = Some(self.current.map_or(time, |known| known.min(time)));
    }

    /// Returns the smallest recent time; `None` before the first one. Without new connections the last known time stays,
    /// since distances change rarely.
    pub fn smallest(&self) -> Option<Duration> {
        self.current.into_iter().chain(self.previous).min()
    }

    /// Returns by how much a round trip to this failure domain exceeds one to `home`; `None` if it is not known.
    ///
    /// Without connections at home the whole round trip counts: there is nothing at home to compare with.
    pub fn extra_round_trip(&self, home: &Self) -> Option<Duration> {
        let at_home = home.smallest().unwrap_or_default();
        self.smallest()
            .map(|round_trip| round_trip.saturating_sub(at_home))
    }
}
