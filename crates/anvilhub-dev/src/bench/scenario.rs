use derive_more::Display;

/// Start of the measurement. Before it, connections are opened and latency estimates settle.
pub(crate) const WARM_UP_SECONDS: f64 = 4.0;
/// Time at which faults and the peak start.
pub(crate) const FAULT_START_SECONDS: f64 = 8.0;
/// Time at which demand starts to fall; it is back to normal a second later.
pub(crate) const PEAK_DECLINE_SECONDS: f64 = 13.0;
/// Time at which the peak is over.
pub(crate) const PEAK_END_SECONDS: f64 = PEAK_DECLINE_SECONDS + 1.0;
/// Duration of a run.
pub(crate) const RUN_SECONDS: f64 = 22.0;
/// Ratio of peak demand to steady demand.
const PEAK_FACTOR: f64 = 5.0;
/// Ratio of all upstreams to slowed upstreams.
const UPSTREAMS_PER_SLOWED: usize = 20;
/// Factor on the service time of a slowed upstream.
const SLOWDOWN_FACTOR: f64 = 10.0;

/// The demand and the faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Scenario {
    /// Steady demand.
    #[display("steady")]
    Steady,
    /// 5% of the upstreams, at least one, become ten times slower.
    #[display("slowed")]
    Slowed,
    /// Load in answers and reports is wrong: half of the upstreams report none, the others too much.
    #[display("misleading")]
    Misleading,
    /// Demand rises to five times the steady demand within a second, and falls again.
    #[display("peak")]
    Peak,
    /// Upstreams and instances of one failure domain stop responding.
    #[display("domain_lost")]
    DomainLost,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 5] = [
        Self::Steady,
        Self::Slowed,
        Self::Misleading,
        Self::Peak,
        Self::DomainLost,
    ];

    /// Returns the ratio of the demand at `seconds` to steady demand.
    pub(crate) fn demand_factor(self, seconds: f64) -> f64 {
        if self != Self::Peak {
            return 1.0;
        }
        let rise = (seconds - FAULT_START_SECONDS).clamp(0.0, 1.0);
        let fall = (seconds - PEAK_DECLINE_SECONDS).clamp(0.0, 1.0);
        1.0 + (PEAK_FACTOR - 1.0) * (rise - fall)
    }

    /// Returns the factor by which an upstream's service time is multiplied at `seconds`.
    pub(crate) fn slowdown_factor(
        self,
        upstream: usize,
        upstream_count: usize,
        seconds: f64,
    ) -> f64 {
        let slowed_count = upstream_count.div_ceil(UPSTREAMS_PER_SLOWED);
        // Spreads the slowed upstreams over the shards.
        let spacing = upstream_count / slowed_count;
        let is_slowed = upstream.is_multiple_of(spacing) && upstream / spacing < slowed_count;
        match self == Self::Slowed && is_slowed && seconds >= FAULT_START_SECONDS {
            true => SLOWDOWN_FACTOR,
            false => 1.0,
        }
    }

    /// Returns whether the machines in `domain` have failed at `seconds`.
    pub(crate) fn is_domain_lost(self, domain: usize, seconds: f64) -> bool {
        self == Self::DomainLost && domain == 0 && seconds >= FAULT_START_SECONDS
    }
}
