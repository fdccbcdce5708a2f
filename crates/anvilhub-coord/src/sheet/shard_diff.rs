use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::ids::{ShardName, UpstreamId};

use super::{ReplicaSpec, ShardSpec, ValueChange};

/// Differences between two versions of a shard.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShardDiff {
    /// Name of the shard.
    pub shard: ShardName,
    /// Change of the range, if it differs.
    pub range: Option<ValueChange>,
    /// Upstreams that are only in the later sheet.
    pub replicas_added: Vec<UpstreamId>,
    /// Upstreams that are only in the earlier sheet.
    pub replicas_removed: Vec<UpstreamId>,
    /// Changed properties of upstreams.
    pub replicas_changed: Vec<ValueChange>,
}

impl ShardDiff {
    /// Compares `old` and `new`, two versions of the same shard.
    pub fn between(old: &ShardSpec, new: &ShardSpec) -> Self {
        let before = replicas_by_id(old);
        let after = replicas_by_id(new);
        let only_in_first =
            |first: &BTreeMap<&UpstreamId, &ReplicaSpec>,
             other: &BTreeMap<&UpstreamId, &ReplicaSpec>| {
                first
                    .keys()
                    .filter(|id| !other.contains_key(*id))
                    .map(|id| (*id).clone())
                    .collect()
            };
        let replicas_changed = before
            .iter()
            .filter_map(|(id, old)| Some(replica_changes(old, after.get(id)?)))
            .flatten()
            .collect();
        Self {
            shard: new.name.clone(),
            range: ValueChange::between("range", old.range, new.range),
            replicas_added: only_in_first(&after, &before),
            replicas_removed: only_in_first(&before, &after),
            replicas_changed,
        }
    }

    /// Returns whether there are no differences.
    pub fn is_empty(&self) -> bool {
        self.range.is_none()
            && self.replicas_added.is_empty()
            && self.replicas_removed.is_empty()
            && self.replicas_changed.is_empty()
    }
}

impl fmt::Display for ShardDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "  ~ shard {}", self.shard)?;
        for change in self.range.iter().chain(&self.replicas_changed) {
            writeln!(formatter, "    ~ {change}")?;
        }
        for id in &self.replicas_added {
            writeln!(formatter, "    + replica {id}")?;
        }
        for id in &self.replicas_removed {
            writeln!(formatter, "    - replica {id}")?;
        }
        Ok(())
    }
}

fn replicas_by_id(shard: &ShardSpec) -> BTreeMap<&UpstreamId, &ReplicaSpec> {
    let replicas = shard.replicas.iter();
    replicas.map(|replica| (&replica.id, replica)).collect()
}

fn replica_changes(old: &ReplicaSpec, new: &ReplicaSpec) -> Vec<ValueChange> {
    let field_path = |name: &str| format!("{}.{name}", new.id);
    let changes = [
        ValueChange::between(field_path("address"), old.address, new.address),
        ValueChange::between(
            field_path("failure_domain"),
            &old.failure_domain,
            &new.failure_domain,
        ),
        ValueChange::between(field_path("slots"), old.slots, new.slots),
        ValueChange::between(
            field_path("connections"),
            old.max_connections,
            new.max_connections,
        ),
    ];
    changes.into_iter().flatten().collect()
}
