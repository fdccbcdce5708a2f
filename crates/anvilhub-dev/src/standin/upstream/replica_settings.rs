use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::sheet::{ReplicaSpec, ShardSpec};
use eyre::{Result, WrapErr, ensure};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// How a replica behaves. Every field can be set at run time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReplicaSettings {
    /// First key that the replica owns.
    pub start: u64,
    /// First key after the replica's range.
    pub end: u64,
    /// Sub-requests that run at once.
    pub slots: u32,
    /// Sub-requests that wait for a slot; more are refused with `shed`.
    pub queue: u32,
    /// Open connections; further ones are closed at once.
    pub connections: u32,
    /// Time from the opening of a connection to its first answer, in milliseconds.
    pub opening_ms: u64,
    /// Median service time, in microseconds.
    pub service_us: u64,
    /// Shape of the Pareto distribution of service times; a lower one has a heavier tail.
    pub tail_alpha: f64,
    /// Longest service time as a multiple of the median.
    pub tail_cap: f64,
    /// Seed of the service times and of shedding.
    pub seed: u64,
    /// Factor on every service time.
    pub slowdown: f64,
    /// Fraction of sub-requests that are refused with `shed`.
    pub shed: f64,
    /// Index snapshots that are held at once.
    pub hold: usize,
    /// Age of what health and load endpoints report, in milliseconds.
    pub report_lag_ms: u64,
    /// Fields that replace those of the health report.
    pub health_override: Map<String, Value>,
    /// Fields that replace those of the load report.
    pub load_override: Map<String, Value>,
    /// Distance between two keys that hold a row.
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
    /// The settings that a sheet gives, with defaults for the rest.
    pub(crate) fn of_sheet(shard: &ShardSpec, replica: &ReplicaSpec) -> Self {
        Self {
            start: shard.range.start,
            end: shard.range.end,
            slots: replica.slots.get(),
            connections: replica.connections.get(),
            ..Self::default()
        }
    }

    /// The settings with the fields of `changes` replaced.
    ///
    /// # Errors
    ///
    /// Fails on an unknown field, a value of another type, or a value out of its range.
    pub(crate) fn changed(&self, changes: &Map<String, Value>) -> Result<Self> {
        let mut value = serde_json::to_value(self)?;
        if let Value::Object(fields) = &mut value {
            fields.extend(changes.clone());
        }
        let settings: Self = serde_json::from_value(value).wrap_err("bad replica settings")?;
        settings.check()?;
        Ok(settings)
    }

    pub(crate) fn range(&self) -> KeyRange {
        KeyRange::new(self.start, self.end)
    }

    fn check(&self) -> Result<()> {
        ensure!(self.slots > 0, "slots is 0; give at least 1");
        ensure!(self.hold > 0, "hold is 0; give at least 1");
        ensure!(self.row_stride > 0, "row_stride is 0; give at least 1");
        ensure!(
            self.tail_alpha > 0.0,
            "tail_alpha is not positive; 2.5 is usual"
        );
        ensure!(
            self.slowdown >= 0.0 && self.slowdown.is_finite(),
            "slowdown is not a factor; 1 is the usual speed"
        );
        Ok(())
    }
}
