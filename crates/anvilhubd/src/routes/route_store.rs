use std::sync::{Arc, Mutex, PoisonError};

use anvilhub_coord::sheet::CheckedSheet;
use arc_swap::ArcSwapOption;

use crate::daemon_clock::DaemonClock;

use super::RouteTable;

/// Holds the routes of the sheet in force, and builds them when a sheet is first used.
pub(crate) struct RouteStore {
    table: ArcSwapOption<RouteTable>,
    /// Held while a table is built, so that concurrent requests build only one.
    build_lock: Mutex<()>,
    clock: DaemonClock,
}

impl RouteStore {
    pub(crate) fn new(clock: DaemonClock) -> Self {
        Self {
            table: ArcSwapOption::empty(),
            build_lock: Mutex::default(),
            clock,
        }
    }

    /// Returns the latest table that was built, `None` before the first one.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    /// Returns the routes of `sheet`, or those of a newer sheet: a request may hold a sheet that has been replaced
    /// meanwhile. `instance_count` is the number of instances that share the slots of the services.
    pub(crate) fn table_for(&self, sheet: &CheckedSheet, instance_count: u32) -> Arc<RouteTable> {
        let is_current =
            |table: &Arc<RouteTable>| table.digest == sheet.digest || table.version > sheet.version;
        if let Some(table) = self.table().filter(is_current) {
            return table;
        }
        let _build_lock = self
            .build_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let previous = self.table();
        if let Some(table) = previous.clone().filter(is_current) {
            return table;
        }
        let table = Arc::new(RouteTable::new(
            sheet,
            previous.as_deref(),
            instance_count,
            self.clock,
        ));
        self.table.store(Some(Arc::clone(&table)));
        table
    }
}
