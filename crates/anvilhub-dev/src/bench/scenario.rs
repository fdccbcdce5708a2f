use derive_more::Display;

/// Seconds until figures are taken, so that connections are open and estimates exist.
pub(crate) const WARM_UP: f64 = 4.0;
/// Seconds at which faults and the peak begin.
pub(crate) const FAULT_START: f64 = 8.0;
/// Seconds at which demand begins to return; it is back a second later.
pub(crate) const PEAK_RETURN: f64 = 13.0;
/// Seconds at which the peak is over.
pub(crate) const PEAK_END: f64 = PEAK_RETURN + 1.0;
/// Seconds that a run lasts.
pub(crate) const RUN_TIME: f64 = 22.0;
/// Demand at the peak against steady demand.
const PEAK_FACTOR: f64 = 5.0;

/// What happens during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Scenario {
    /// Steady demand.
    #[display("steady")]
    Steady,
    /// 5% of the upstreams, at least one, become ten times slower.
    #[display("slowed")]
    Slowed,
    /// Load in answers and reports is false: half of the upstreams state none, the others too much.
    #[display("misleading")]
    Misleading,
    /// Demand times five within a second, and back.
    #[display("peak")]
    Peak,
    /// Upstreams and entries of one failure domain become silent.
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

    /// Demand at `seconds` against steady demand.
    pub(crate) fn demand(self, seconds: f64) -> f64 {
        if self != Self::Peak {
            return 1.0;
        }
        let rise = (seconds - FAULT_START).clamp(0.0, 1.0);
        let fall = (seconds - PEAK_RETURN).clamp(0.0, 1.0);
        1.0 + (PEAK_FACTOR - 1.0) * (rise - fall)
    }

    /// Factor on the service time of an upstream at `seconds`.
    pub(crate) fn slowness(self, upstream: usize, count: usize, seconds: f64) -> f64 {
        let slowed = count.div_ceil(20);
        // Spreads the slowed upstreams over the shards.
        let spacing = count / slowed;
        let is_slowed = upstream.is_multiple_of(spacing) && upstream / spacing < slowed;
        match self == Self::Slowed && is_slowed && seconds >= FAULT_START {
            true => 10.0,
            false => 1.0,
        }
    }

    /// Says whether a machine in `domain` is lost at `seconds`.
    pub(crate) fn is_lost(self, domain: usize, seconds: f64) -> bool {
        self == Self::DomainLost && domain == 0 && seconds >= FAULT_START
    }
}
