use std::collections::HashMap;
use std::net::SocketAddr;

use anvilhub_coord::routing::OwnerHealth;
use anvilhub_coord::time::ClockTime;

use crate::routes::LockCell;

/// Whether the owning instances that this one sends batches to answer.
#[derive(Default)]
pub(crate) struct OwnerTable {
    owners: LockCell<HashMap<SocketAddr, OwnerState>>,
}

#[derive(Default)]
struct OwnerState {
    health: OwnerHealth,
    is_pinged: bool,
}

impl OwnerTable {
    pub(crate) fn is_bypassed(&self, owner: SocketAddr, now: ClockTime) -> bool {
        self.owners.with(|owners| {
            owners
                .get(&owner)
                .is_some_and(|state| state.health.is_bypassed(now))
        })
    }

    pub(crate) fn update(&self, owner: SocketAddr, update: impl FnOnce(&mut OwnerHealth)) {
        self.owners
            .with(|owners| update(&mut owners.entry(owner).or_default().health));
    }

    /// Forgets instances that take no work any more.
    pub(crate) fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.owners
            .with(|owners| owners.retain(|&owner, _| keep(owner)));
    }

    /// Says whether to ping the owner now: one ping is under way at a time.
    pub(crate) fn begin_ping(&self, owner: SocketAddr, now: ClockTime) -> bool {
        self.owners.with(|owners| {
            let state = owners.entry(owner).or_default();
            let begins = !state.is_pinged && state.health.begin_ping(now);
            state.is_pinged |= begins;
            begins
        })
    }

    pub(crate) fn end_ping(&self, owner: SocketAddr) {
        self.owners
            .with(|owners| owners.entry(owner).or_default().is_pinged = false);
    }
}
