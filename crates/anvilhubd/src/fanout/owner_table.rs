use std::collections::HashMap;
use std::net::SocketAddr;

use anvilhub_coord::routing::OwnerHealth;
use anvilhub_coord::time::ClockTime;

use crate::routes::RouteCell;

/// Whether the owning instances that this one sends batches to answer.
#[derive(Default)]
pub(crate) struct OwnerTable {
    owners: RouteCell<HashMap<SocketAddr, OwnerHealth>>,
}

impl OwnerTable {
    pub(crate) fn is_bypassed(&self, owner: SocketAddr, now: ClockTime) -> bool {
        self.owners.with(|owners| {
            owners
                .get(&owner)
                .is_some_and(|health| health.is_bypassed(now))
        })
    }

    pub(crate) fn update(&self, owner: SocketAddr, update: impl FnOnce(&mut OwnerHealth)) {
        self.owners
            .with(|owners| update(owners.entry(owner).or_default()));
    }
}
