use std::sync::{Arc, Mutex, PoisonError};

use anvilhub_coord::sheet::CheckedSheet;
use arc_swap::ArcSwapOption;

use crate::clock::DaemonClock;

use super::RouteTable;

/// Holds the routes of the sheet in force.
pub(crate) struct RouteStore {
    table: ArcSwapOption<RouteTable>,
    building: Mutex<()>,
    clock: DaemonClock,
}

impl RouteStore {
    pub(crate) fn new(clock: DaemonClock) -> Self {
        Self {
            table: ArcSwapOption::empty(),
            building: Mutex::default(),
            clock,
        }
    }

    /// The routes of the newest sheet that was asked for.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    /// The routes of `sheet` in one of `entries` instances, or those of a newer one: a request may hold a sheet that was replaced meanwhile.
    pub(crate) fn for_sheet(&self, sheet: &CheckedSheet, entries: u32) -> Arc<RouteTable> {
        let is_current =
            |table: &Arc<RouteTable>| table.digest == sheet.digest || table.version > sheet.version;
        if let Some(table) = self.table().filter(is_current) {
            return table;
        }
        let _building = self.building.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = self.table();
        if let Some(table) = previous.clone().filter(is_current) {
            return table;
        }
        let table = Arc::new(RouteTable::new(
            sheet,
            previous.as_deref(),
            entries,
            self.clock,
        ));
        self.table.store(Some(Arc::clone(&table)));
        table
    }
}
