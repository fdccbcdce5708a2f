use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::ids::FailureDomain;
use anvilhub_coord::time::ClockTime;
use log::info;

use crate::routes::LockCell;

use super::DomainState;

/// The state of each failure domain that has upstreams or is evacuated.
#[derive(Default)]
pub(super) struct DomainTable {
    domains: LockCell<HashMap<FailureDomain, Arc<DomainState>>>,
}

impl DomainTable {
    /// Returns the state of `domain`, which is shared by all that ask for it.
    pub(super) fn state(&self, domain: &FailureDomain) -> Arc<DomainState> {
        self.domains
            .with(|domains| Arc::clone(domains.entry(domain.clone()).or_default()))
    }

    /// Returns whether `domain` is evacuated.
    pub(super) fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.domains.with(|domains| {
            domains
                .get(domain)
                .is_some_and(|state| state.is_evacuated())
        })
    }

    /// Returns the domains that have upstreams and have been known as evacuated for at least `min_age`.
    pub(super) fn evacuated_for(
        &self,
        now: ClockTime,
        min_age: Duration,
    ) -> BTreeSet<FailureDomain> {
        let is_included = |state: &Arc<DomainState>| {
            let age = state.evacuation_age(now);
            Arc::strong_count(state) > 1 && age.is_some_and(|age| age >= min_age)
        };
        self.domains.with(|domains| {
            let included = domains.iter().filter(|(_, state)| is_included(state));
            included.map(|(domain, _)| domain.clone()).collect()
        })
    }

    /// Makes `evacuated` the set of evacuated domains, and logs which orders begin and end.
    /// `platform_age` is the age of the platform's values.
    pub(super) fn adopt_evacuations(
        &self,
        now: ClockTime,
        platform_age: Duration,
        evacuated: &BTreeSet<FailureDomain>,
    ) {
        let platform_age_ms = platform_age.as_millis() as u64;
        self.domains.with(|domains| {
            for domain in evacuated {
                domains.entry(domain.clone()).or_default();
            }
            for (domain, state) in domains.iter() {
                let lasted = state.evacuation_age(now);
                if !state.set_evacuated(now, evacuated.contains(domain)) {
                    continue;
                }
                match lasted {
                    None => info!(domain:% = domain, platform_age_ms; "evacuation begins"),
                    Some(lasted) => info!(
                        domain:% = domain, platform_age_ms, lasted_ms = lasted.as_millis() as u64;
                        "evacuation ends"
                    ),
                }
            }
            // Orders may name any domain; one without upstreams is forgotten when its order ends.
            domains.retain(|_, state| state.is_evacuated() || Arc::strong_count(state) > 1);
        });
    }

    /// Wakes the attempts that wait for a connection to an evacuated upstream.
    pub(super) fn wake_attempts(&self) {
        self.domains.with(|domains| {
            let evacuated = domains.values().filter(|state| state.is_evacuated());
            evacuated.for_each(|state| state.wake_attempts());
        });
    }
}
