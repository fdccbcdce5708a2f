use std::collections::HashMap;
use std::net::SocketAddr;

use anvilhub_coord::routing::OwnerHealth;
use anvilhub_coord::time::ClockTime;

use crate::routes::LockCell;

/// Whether the owners to which this instance sends batches answer, by their peer addresses.
#[derive(Default)]
pub(crate) struct OwnerTable {
    owners: LockCell<HashMap<SocketAddr, OwnerState>>,
}

#[derive(Default)]
struct OwnerState {
    health: OwnerHealth,
    is_ping_in_flight: bool,
}

impl OwnerTable {
    /// Returns whether sub-requests go directly to the upstreams, because the owner does not answer.
    pub(crate) fn is_bypassed(&self, owner: SocketAddr, now: ClockTime) -> bool {
        self.owners.with(|owners| {
            owners
                .get(&owner)
                .is_some_and(|state| state.health.is_bypassed(now))
        })
    }

    /// Calls `update` with the health of an owner.
    pub(crate) fn update(&self, owner: SocketAddr, update: impl FnOnce(&mut OwnerHealth)) {
        self.owners
            .with(|owners| update(&mut owners.entry(owner).or_default().health));
    }

    /// Removes the owners for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.owners
            .with(|owners| owners.retain(|&owner, _| keep(owner)));
    }

    /// Returns whether to ping the owner now. At most one ping is in flight at a time.
    pub(crate) fn begin_ping(&self, owner: SocketAddr, now: ClockTime) -> bool {
        self.owners.with(|owners| {
            let state = owners.entry(owner).or_default();
            let is_due = !state.is_ping_in_flight && state.health.begin_ping(now);
            state.is_ping_in_flight |= is_due;
            is_due
        })
    }

    /// Records that the ping of an owner ended, with or without an answer.
    pub(crate) fn end_ping(&self, owner: SocketAddr) {
        self.owners
            .with(|owners| owners.entry(owner).or_default().is_ping_in_flight = false);
    }
}
