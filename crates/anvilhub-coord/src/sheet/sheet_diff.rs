use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

use crate::ids::{ServiceName, SheetVersion};

use super::{CheckedSheet, ServiceDiff};

/// Differences between the services of two sheets.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SheetDiff {
    /// Version of the earlier sheet.
    pub from: SheetVersion,
    /// Version of the later sheet.
    pub to: SheetVersion,
    /// Services that are only in the later sheet.
    pub added: Vec<ServiceName>,
    /// Services that are only in the earlier sheet.
    pub removed: Vec<ServiceName>,
    /// Differences of the services that are in both sheets.
    pub changed: Vec<ServiceDiff>,
}

impl SheetDiff {
    /// Compares `old` and `new`.
    pub fn between(old: &CheckedSheet, new: &CheckedSheet) -> Self {
        let before: BTreeSet<&ServiceName> = old.services.keys().collect();
        let after: BTreeSet<&ServiceName> = new.services.keys().collect();
        let changed = before
            .intersection(&after)
            .map(|name| ServiceDiff::between(&old.services[*name], &new.services[*name]))
            .filter(|diff| !diff.is_empty())
            .collect();
        Self {
            from: old.version,
            to: new.version,
            added: after.difference(&before).copied().cloned().collect(),
            removed: before.difference(&after).copied().cloned().collect(),
            changed,
        }
    }

    /// Returns whether the services of both sheets are the same.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

impl fmt::Display for SheetDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "version {} -> {}", self.from, self.to)?;
        if self.is_empty() {
            return writeln!(formatter, "no service differs");
        }
        for name in &self.added {
            writeln!(formatter, "+ service {name}")?;
        }
        for name in &self.removed {
            writeln!(formatter, "- service {name}")?;
        }
        self.changed
            .iter()
            .try_for_each(|diff| write!(formatter, "{diff}"))
    }
}
