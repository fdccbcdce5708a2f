use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use anvilhub_coord::gateway::{RouteCatalog, RouteName, RouteTarget};
use anvilhub_coord::ids::ServiceName;

use super::RouteState;

/// The routes in force, with the observations of each.
pub(super) struct ServingTable {
    pub(super) catalog: RouteCatalog,
    /// State of each route, in the order of the catalog's rules.
    pub(super) states: Vec<Arc<RouteState>>,
}

impl ServingTable {
    /// Creates a table of `catalog` that keeps the states that `earlier` has for routes of the same name.
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

    /// Returns the services that this instance sends requests to. `is_relayed` returns whether gathered requests with
    /// that number of shards are relayed to another instance.
    pub(super) fn contacted_services(
        &self,
        is_relayed: impl Fn(usize) -> bool,
    ) -> BTreeSet<&ServiceName> {
        let targets = self.catalog.rules().iter().map(|rule| &rule.target);
        let is_contacted = |target: &&RouteTarget| match target {
            RouteTarget::Gather(gather) => !is_relayed(gather.shards.len()),
            RouteTarget::Service(_) | RouteTarget::Split(_) => true,
        };
        targets
            .filter(is_contacted)
            .flat_map(RouteTarget::services)
            .collect()
    }
}
