use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::sheet::{ReplicaSpec, ShardSpec};
use eyre::{Result, WrapErr, ensure};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Configurable behaviour of a replica. Every field can be changed at run time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReplicaSettings {
    /// First key of the range that the replica holds.
    pub start: u64,
    /// First key after that range.
    pub end: u64,
    /// Maximum number of sub-requests that run at once.
    pub slots: u32,
    /// Maximum number of sub-requests that wait for a slot; further ones are refused with reason `shed`.
    #[serde(rename = "queue")]
    pub max_queued: u32,
    /// Maximum number of open connections; further ones are closed at once.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Minimum time between the opening of a connection and its first answer, in milliseconds.
    pub opening_ms: u64,
    /// Median service time, in microseconds.
    #[serde(rename = "service_us")]
    pub median_service_us: u64,
    /// Shape parameter (alpha) of the Pareto distribution of service times; a lower value gives a heavier tail.
    pub tail_alpha: f64,
    /// Maximum service time as a multiple of the median.
    #[serde(rename = "tail_cap")]
    pub max_median_multiple: f64,
    /// Seed of the random service times and of random shedding.
    pub seed: u64,
    /// Factor by which every service time is multiplied.
    #[serde(rename = "slowdown")]
    pub slowdown_factor: f64,
    /// Fraction of sub-requests that are refused with reason `shed`.
    #[serde(rename = "shed")]
    pub shed_fraction: f64,
    /// Maximum number of index snapshots that are held at once.
    #[serde(rename = "hold")]
    pub max_held_snapshots: usize,
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
            max_queued: 64,
            max_connections: 25,
            opening_ms: 0,
            median_service_us: 2_000,
            tail_alpha: 2.5,
            max_median_multiple: 20.0,
            seed: 1,
            slowdown_factor: 1.0,
            shed_fraction: 0.0,
            max_held_snapshots: 2,
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
            max_connections: replica.max_connections.get(),
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

    /// Checks that the values are in range. Errors use the names that a command uses.
    fn check(&self) -> Result<()> {
        ensure!(self.slots > 0, "slots is 0; the minimum is 1");
        ensure!(self.max_held_snapshots > 0, "hold is 0; the minimum is 1");
        ensure!(self.row_stride > 0, "row_stride is 0; the minimum is 1");
        ensure!(
            self.tail_alpha > 0.0,
            "tail_alpha is {}, but must be positive; the default is 2.5",
            self.tail_alpha
        );
        ensure!(
            self.slowdown_factor >= 0.0 && self.slowdown_factor.is_finite(),
            "slowdown is {}, but must be finite and not negative; 1 is normal speed",
            self.slowdown_factor
        );
        Ok(())
    }
}
