use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use anvilhub_coord::gateway::{RouteCatalog, RouteName, RouteRule, RouteTarget};
use anvilhub_coord::ids::ServiceName;

use super::RouteState;

/// The routes in force, and what was observed of each.
pub(super) struct ServingTable {
    pub(super) catalog: RouteCatalog,
    /// State of each route, in the order of the catalog's rules.
    pub(super) states: Vec<Arc<RouteState>>,
}

impl ServingTable {
    /// Creates a table of `catalog`. A route keeps the state that a route of the same name has in `previous`.
    pub(super) fn new(catalog: RouteCatalog, previous: Option<&Self>) -> Self {
        let known_states: HashMap<&RouteName, &Arc<RouteState>> = previous
            .iter()
            .flat_map(|table| table.catalog.rules().iter().zip(&table.states))
            .map(|(rule, state)| (&rule.name, state))
            .collect();
        let states = catalog
            .rules()
            .iter()
            .map(|rule| {
                known_states
                    .get(&rule.name)
                    .copied()
                    .cloned()
                    .unwrap_or_default()
            })
            .collect();
        Self { catalog, states }
    }

    /// Returns the services to which this instance sends requests itself. `is_relayed` returns whether requests of a route
    /// that are gathered from the given number of shards are relayed to another instance.
    pub(super) fn contacted_services(
        &self,
        is_relayed: impl Fn(&RouteRule, usize) -> bool,
    ) -> BTreeSet<&ServiceName> {
        let is_contacted = |rule: &&RouteRule| match &rule.target {
            RouteTarget::Gather(gather) => !is_relayed(rule, gather.shards.len()),
            RouteTarget::Service(_) | RouteTarget::Split(_) => true,
        };
        let rules = self.catalog.rules().iter().filter(is_contacted);
        rules.flat_map(|rule| rule.target.services()).collect()
    }
}
