use std::collections::HashMap;
use std::sync::Arc;

use anvilhub_coord::gateway::{RouteCatalog, RouteName};

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
}
