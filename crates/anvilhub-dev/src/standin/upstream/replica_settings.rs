use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::sheet::{ReplicaSpec, ShardSpec};
use eyre::{Result, WrapErr, ensure};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Configurable behaviour of a replica. Every field can be changed at run time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReplicaSettings {
    /// First key of the range that the replica owns.
    pub start: u64,
    /// First key after that range.
    pub end: u64,
    /// Maximum number of sub-requests that run at once.
    pub slots: u32,
    /// Maximum number of sub-requests that wait for a slot; further ones are refused with reason `shed`.
    pub queue: u32,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: u32,
    /// Minimum time between the opening of a connection and its first answer, in milliseconds.
    pub opening_ms: u64,
    /// Median service time, in microseconds.
    pub service_us: u64,
    /// Shape parameter (alpha) of the Pareto distribution of service times; a lower value gives a heavier tail.
    pub tail_alpha: f64,
    /// Maximum service time as a multiple of the median.
    pub tail_cap: f64,
    /// Seed of the random service times and of random shedding.
    pub seed: u64,
    /// Factor by which every service time is multiplied.
    pub slowdown: f64,
    /// Fraction of sub-requests that are refused with reason `shed`.
    pub shed: f64,
    /// Maximum number of index snapshots that are held at once.
    pub hold: usize,
    /// Age of the data in the health and load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Values that override fields of the health report.
    pub health_override: Map<String, Value>,
    /// Values that override fields of the load report.
    pub load_override: Map<String, Value>,
    /// Distance between two keys that have a row.
    pub row_stride: u64,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            start: KeyRange::WHOLE.start,
            end: KeyRange::WHOLE.end,
            slots: 2,
            queue: 64,
            connections: 25,
            opening_ms: 0,
            service_us: 2_000,
            tail_alpha: 2.5,
            tail_cap: 20.0,
            seed: 1,
            slowdown: 1.0,
            shed: 0.0,
            hold: 2,
            report_lag_ms: 0,
            health_override: Map::new(),
            load_override: Map::new(),
            row_stride: 1 << 24,
        }
    }
}

impl ReplicaSettings {
    /// Returns the settings that the sheet specifies, and defaults for the others.
    pub(crate) fn from_sheet(shard: &ShardSpec, replica: &ReplicaSpec) -> Self {
        Self {
            start: shard.range.start,
            end: shard.range.end,
            slots: replica.slots.get(),
            connections: replica.max_connections.get(),
            ..Self::default()
        }
    }

    /// Returns the settings with the values in `changes` applied.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is unknown or a value has the wrong type or is out of range.
    pub(crate) fn with_changes(&self, changes: &Map<String, Value>) -> Result<Self> {
        let mut value = serde_json::to_value(self)?;
        if let Value::Object(fields) = &mut value {
            fields.extend(changes.clone());
        }
        let settings: Self = serde_json::from_value(value).wrap_err("invalid replica settings")?;
        settings.check()?;
        Ok(settings)
    }

    pub(crate) fn range(&self) -> KeyRange {
        KeyRange::new(self.start, self.end)
    }

    fn check(&self) -> Result<()> {
        ensure!(self.slots > 0, "slots is 0; the minimum is 1");
        ensure!(self.hold > 0, "hold is 0; the minimum is 1");
        ensure!(self.row_stride > 0, "row_stride is 0; the minimum is 1");
        ensure!(
            self.tail_alpha > 0.0,
            "tail_alpha must be positive; the default is 2.5"
        );
        ensure!(
            self.slowdown >= 0.0 && self.slowdown.is_finite(),
            "slowdown must be finite and not negative; 1 is normal speed"
        );
        Ok(())
    }
}
