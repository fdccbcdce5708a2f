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

    /// The services to which requests are sent, each once. `passes_on` says whether a gathered request with so many
    /// parts is left to another instance.
    pub(super) fn sent_services(
        &self,
        passes_on: impl Fn(usize) -> bool,
    ) -> BTreeSet<&ServiceName> {
        let targets = self.catalog.rules().iter().map(|rule| &rule.target);
        let is_sent = |target: &&RouteTarget| match target {
            RouteTarget::Gather(gather) => !passes_on(gather.shards.len()),
            RouteTarget::Service(_) | RouteTarget::Split(_) => true,
        };
        targets
            .filter(is_sent)
            .flat_map(RouteTarget::services)
            .collect()
    }
}
