use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::ids::{ServiceName, ShardName};

use super::{ServiceSpec, ShardDiff, ShardSpec, ValueChange};

/// Differences between two versions of a service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceDiff {
    /// Name of the service.
    pub service: ServiceName,
    /// Changed properties: callers, urgency, repeatability and routing.
    pub policy: Vec<ValueChange>,
    /// Shards that are only in the later sheet.
    pub shards_added: Vec<ShardName>,
    /// Shards that are only in the earlier sheet.
    pub shards_removed: Vec<ShardName>,
    /// Differences of the shards that are in both sheets.
    pub shards_changed: Vec<ShardDiff>,
}

impl ServiceDiff {
    /// Compares `old` and `new`, two versions of the same service.
    pub fn between(old: &ServiceSpec, new: &ServiceSpec) -> Self {
        let before = shards_by_name(old);
        let after = shards_by_name(new);
        let only_in_first = |first: &BTreeMap<&ShardName, &ShardSpec>,
                             other: &BTreeMap<&ShardName, &ShardSpec>| {
            first
                .keys()
                .filter(|name| !other.contains_key(*name))
                .map(|name| (*name).clone())
                .collect()
        };
        let shards_changed = before
            .iter()
            .filter_map(|(name, old)| Some(ShardDiff::between(old, after.get(name)?)))
            .filter(|diff| !diff.is_empty())
            .collect();
        Self {
            service: new.name.clone(),
            policy: policy_changes(old, new),
            shards_added: only_in_first(&after, &before),
            shards_removed: only_in_first(&before, &after),
            shards_changed,
        }
    }

    /// Returns whether there are no differences.
    pub fn is_empty(&self) -> bool {
        self.policy.is_empty()
            && self.shards_added.is_empty()
            && self.shards_removed.is_empty()
            && self.shards_changed.is_empty()
    }
}

impl fmt::Display for ServiceDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "~ service {}", self.service)?;
        for change in &self.policy {
            writeln!(formatter, "  ~ {change}")?;
        }
        for name in &self.shards_added {
            writeln!(formatter, "  + shard {name}")?;
        }
        for name in &self.shards_removed {
            writeln!(formatter, "  - shard {name}")?;
        }
        self.shards_changed
            .iter()
            .try_for_each(|diff| write!(formatter, "{diff}"))
    }
}

fn shards_by_name(service: &ServiceSpec) -> BTreeMap<&ShardName, &ShardSpec> {
    let shards = service.shards.iter();
    shards.map(|shard| (&shard.name, shard)).collect()
}

fn policy_changes(old: &ServiceSpec, new: &ServiceSpec) -> Vec<ValueChange> {
    let callers = |service: &ServiceSpec| {
        let names: Vec<&str> = service.callers.iter().map(|name| name.as_str()).collect();
        names.join(", ")
    };
    let deadline = |service: &ServiceSpec| service.route.default_deadline.as_millis();
    let changes = [
        ValueChange::between("callers", callers(old), callers(new)),
        ValueChange::between("urgency", old.urgency, new.urgency),
        ValueChange::between("repeatability", old.repeatability, new.repeatability),
        ValueChange::between("route.mode", old.route.mode, new.route.mode),
        ValueChange::between(
            "route.extra_load",
            old.route.extra_load,
            new.route.extra_load,
        ),
        ValueChange::between(
            "route.hedge_quantile",
            old.route.hedge_quantile,
            new.route.hedge_quantile,
        ),
        ValueChange::between("route.default_deadline_ms", deadline(old), deadline(new)),
    ];
    changes.into_iter().flatten().collect()
}
