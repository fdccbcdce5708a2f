use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::gateway::OpeningTime;
use anvilhub_coord::ids::FailureDomain;

use crate::daemon_clock::DaemonClock;
use crate::routes::LockCell;

use super::GatewaySettings;

/// How far an upstream is away: what this instance measured of the upstream's failure domain and of its own.
#[derive(Clone)]
pub(super) struct UpstreamDistance {
    domain: FailureDomain,
    is_local: bool,
    clock: DaemonClock,
    opening_time: Arc<LockCell<OpeningTime>>,
    home_opening_time: Arc<LockCell<OpeningTime>>,
    /// The extra round trip that the settings state.
    stated: Option<Duration>,
}

impl UpstreamDistance {
    /// Creates the distance of an upstream in `domain` from the times that are measured for that domain and for home.
    pub(super) fn new(
        domain: FailureDomain,
        settings: &GatewaySettings,
        clock: DaemonClock,
        opening_time: Arc<LockCell<OpeningTime>>,
        home_opening_time: Arc<LockCell<OpeningTime>>,
    ) -> Self {
        Self {
            is_local: domain == settings.failure_domain,
            domain,
            clock,
            opening_time,
            home_opening_time,
            stated: settings.remote_round_trip,
        }
    }

    pub(super) fn is_local(&self) -> bool {
        self.is_local
    }

    /// Records how long it took to open a connection that was opened just now.
    pub(super) fn record_opening(&self, time: Duration) {
        let now = self.clock.now();
        self.opening_time.with(|known| known.record(now, time));
        if self.is_local {
            return;
        }
        if let Some(extra) = self.extra_round_trip() {
            metrics::gauge!(
                "anvilhub_remote_round_trip_seconds", "domain" => self.domain.to_string()
            )
            .set(extra.as_secs_f64());
        }
    }

    /// Returns by how much a round trip to the upstream exceeds one within this failure domain, as stated or measured;
    /// `None` if it is not known.
    pub(super) fn extra_round_trip(&self) -> Option<Duration> {
        if self.is_local {
            return Some(Duration::ZERO);
        }
        if self.stated.is_some() {
            return self.stated;
        }
        let home = self.home_opening_time.with(|home| *home);
        self.opening_time
            .with(|opening_time| opening_time.extra_round_trip(&home))
    }
}
