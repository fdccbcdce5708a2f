use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use anvilhub_coord::gateway::{RouteCatalog, RouteName, RouteTarget};
use anvilhub_coord::ids::ServiceName;

use super::RouteState;

/// The routes in force, with what was observed of each.
pub(super) struct ServingTable {
    pub(super) catalog: RouteCatalog,
    pub(super) states: Vec<Arc<RouteState>>,
}

impl ServingTable {
    /// A table of `catalog` that keeps what `earlier` observed of routes of the same name.
    pub(super) fn new(catalog: RouteCatalog, earlier: Option<&Self>) -> Self {
        let known: HashMap<&RouteName, &Arc<RouteState>> = earlier
            .iter()
            .flat_map(|table| table.catalog.rules().iter().zip(&table.states))
            .map(|(rule, state)| (&rule.name, state))
            .collect();
        let states = catalog
            .rules()
            .iter()
            .map(|rule| known.get(&rule.name).copied().cloned().unwrap_or_default())
            .collect();
        Self { catalog, states }
    }

    /// The services that routes name, each once.
    pub(super) fn routed_services(&self) -> BTreeSet<&ServiceName> {
        let targets = self.catalog.rules().iter().map(|rule| &rule.target);
        targets.flat_map(RouteTarget::services).collect()
    }
}
