use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::fleet::DomainShares;
use anvilhub_coord::gateway::{
    AnswerPeak, AnswerSize, CallerDelay, CallerLatency, TrafficSplitter,
};
use anvilhub_coord::ids::{ByteSize, SheetVersion};
use anvilhub_coord::routing::{HedgePolicy, LatencyWindow};
use anvilhub_coord::time::ClockTime;

use crate::routes::LockCell;

/// Hedge delay while too few latencies are recorded, as a fraction of the latency target.
const DEFAULT_HEDGE_DELAY_FRACTION: f64 = 0.45;
/// Typical latency while too few latencies are recorded, as a fraction of the latency target.
const DEFAULT_LATENCY_FRACTION: f64 = 0.12;
/// Minimum number of recorded latencies from which the typical latency is computed.
const MIN_LATENCY_SAMPLES: u64 = 8;
/// Maximum hedge delay, as a fraction of the latency target.
const MAX_HEDGE_DELAY_FRACTION: f64 = 0.45;

/// What this instance has observed of a route. It is kept when a new version of the configuration is adopted.
#[derive(Default)]
pub(super) struct RouteState {
    caller_delay: LockCell<CallerDelay>,
    caller_latency: LockCell<CallerLatency>,
    pub(super) splitter: LockCell<TrafficSplitter>,
    latencies: LockCell<LatencyWindow>,
    answer_size: LockCell<AnswerSize>,
    answer_peak: LockCell<AnswerPeak>,
    domain_shares: LockCell<Option<KnownShares>>,
}

/// Where the upstreams of a route's shards are, as computed for one generation of upstreams and one configuration.
struct KnownShares {
    computed_for: SharesKey,
    shares: Arc<DomainShares>,
}

/// Generation of the upstreams, and version of the configuration.
pub(super) type SharesKey = (u64, SheetVersion);

impl RouteState {
    /// Records the time left that a request states. Returns how long its caller had waited before, and the network
    /// latency to reserve for the answer, at most `max_latency`.
    pub(super) fn record_caller_time(
        &self,
        time_left: Duration,
        timeout: Duration,
        max_latency: Duration,
    ) -> (Duration, Duration) {
        let waited = self
            .caller_delay
            .with(|delay| delay.record_time_left(time_left, timeout));
        let latency = self.caller_latency.with(|latency| {
            latency.record_wait(waited, timeout);
            latency.estimate(max_latency)
        });
        (waited, latency)
    }

    /// Returns the shares that were computed for `key`, after computing them if they were not.
    pub(super) fn domain_shares(
        &self,
        key: SharesKey,
        compute: impl FnOnce() -> DomainShares,
    ) -> Arc<DomainShares> {
        self.domain_shares.with(|known| {
            if let Some(known) = known.as_ref().filter(|known| known.computed_for == key) {
                return Arc::clone(&known.shares);
            }
            let shares = Arc::new(compute());
            *known = Some(KnownShares {
                computed_for: key,
                shares: Arc::clone(&shares),
            });
            shares
        })
    }

    /// Records the latency of an answered attempt.
    pub(super) fn record_latency(&self, now: ClockTime, latency: Duration) {
        self.latencies
            .with(|latencies| latencies.record(now, latency));
    }

    /// Records the size of an upstream's answer.
    pub(super) fn record_answer_size(&self, size: ByteSize) {
        self.answer_size
            .with(|answer_size| answer_size.record(size));
    }

    /// Records the size of the body of a successful answer to a caller.
    pub(super) fn record_response_size(&self, size: ByteSize) {
        self.answer_peak.with(|peak| peak.record(size));
    }

    /// Returns the size up to which the body of the next answer to a caller is expected to be.
    pub(super) fn expected_response_size(&self) -> ByteSize {
        self.answer_peak.with(|peak| peak.expected())
    }

    /// Returns the size to expect of an upstream's answer.
    pub(super) fn expected_answer_size(&self) -> ByteSize {
        self.answer_size.with(|answer_size| answer_size.expected())
    }

    /// Returns the median latency of recent answers, and the time after an attempt is sent at which a hedge is due.
    pub(super) fn typical_latency_and_hedge_delay(
        &self,
        latency_target: Duration,
        hedge_quantile: f64,
    ) -> (Duration, Duration) {
        let policy = HedgePolicy::new(hedge_quantile);
        let (typical_latency, hedge_delay) = self.latencies.with(|latencies| {
            let typical_latency = match latencies.len() {
                0..MIN_LATENCY_SAMPLES => None,
                _ => latencies.quantile(0.5),
            };
            (typical_latency, policy.delay(latencies, latencies))
        });
        let hedge_delay =
            hedge_delay.unwrap_or(latency_target.mul_f64(DEFAULT_HEDGE_DELAY_FRACTION));
        (
            typical_latency.unwrap_or(latency_target.mul_f64(DEFAULT_LATENCY_FRACTION)),
            hedge_delay.min(latency_target.mul_f64(MAX_HEDGE_DELAY_FRACTION)),
        )
    }
}
