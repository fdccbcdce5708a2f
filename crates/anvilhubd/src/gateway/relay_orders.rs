use std::collections::BTreeSet;
use std::time::Duration;

use anvilhub_coord::ids::FailureDomain;
use anvilhub_coord::time::ClockTime;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

use super::DomainTable;

/// Failure domains whose upstreams must get no part of a relayed request, separated by commas.
const EVACUATED: HeaderName = HeaderName::from_static("x-relay-evacuated");
/// Time after which every instance that is in contact with the platform has an order: a watch and a call of a follower
/// take less. Until then a relay that lacks the order is not cut off, and declining would cost its gain for nothing.
const SPREAD_TIME: Duration = Duration::from_secs(1);

/// The evacuated failure domains that a relay must know, in a header that is added to the relayed request.
///
/// A relay that is cut off from the platform does not know of the latest orders. A request of an instance that knows
/// them would reach an evacuated upstream through it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RelayOrders {
    domains: BTreeSet<FailureDomain>,
}

impl RelayOrders {
    /// Returns the orders that every instance in contact with the platform knows at `now`.
    pub(super) fn collect(now: ClockTime, table: &DomainTable) -> Self {
        Self {
            domains: table.evacuated_for(now, SPREAD_TIME),
        }
    }

    /// Adds the header to `headers` if there are orders.
    pub(super) fn write(&self, headers: &mut HeaderMap) {
        let names: Vec<&str> = self.domains.iter().map(FailureDomain::as_str).collect();
        if let (false, Ok(value)) = (names.is_empty(), HeaderValue::from_str(&names.join(","))) {
            headers.insert(EVACUATED, value);
        }
    }

    /// Removes the header from `headers` and returns the orders in it; none if it is missing.
    pub(super) fn take(headers: &mut HeaderMap) -> Self {
        let value = headers.remove(EVACUATED);
        let text = value
            .as_ref()
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        Self {
            domains: text
                .split(',')
                .filter_map(|name| name.parse().ok())
                .collect(),
        }
    }

    /// Returns whether all orders are among those of `table`.
    pub(super) fn are_known(&self, table: &DomainTable) -> bool {
        self.domains.iter().all(|domain| table.is_evacuated(domain))
    }
}
