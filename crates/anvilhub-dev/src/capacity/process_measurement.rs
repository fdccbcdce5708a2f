use std::time::Duration;
use std::{fs, thread};

use anvilhub_coord::border::sheet::RepeatPolicy;
use eyre::{Result, WrapErr, ensure, eyre};

use super::{CpuMeter, MeasuredSeries};
use crate::process::{QueryCall, ServicePlan, SheetPlan, TestTier, TierPlan};

/// Numbers of shards of the measured service.
const FANOUT_SIZES: [u64; 4] = [4, 8, 20, 50];

/// Number of queries before the measurement, which open the connections and fill the caches.
const WARM_UP_QUERY_COUNT: u32 = 100;

/// Number of measured queries. The CPU clock has a resolution of 10 ms, so the error is below 1% if the queries use
/// more than 1 s of CPU time.
const MEASURED_QUERY_COUNT: u32 = 600;

/// Numbers of idle instances. With the platform and the upstreams, at most 18 processes run at the same time.
const IDLE_FLEET_SIZES: [usize; 4] = [2, 4, 8, 16];

/// Numbers of shards, with two replicas each, that one idle instance owns.
const IDLE_SHARD_COUNTS: [u64; 4] = [10, 40, 100, 160];

/// Pause before an idle measurement, in which instances that have just started open their connections.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Duration of an idle measurement.
const IDLE_TIME: Duration = Duration::from_secs(8);

/// Measures the CPU time and memory of real `anvilhubd` processes on loopback.
#[derive(Clone, Copy, Debug)]
pub struct ProcessMeasurement;

impl ProcessMeasurement {
    /// Measures queries with several fan-out sizes, and idle fleets of several sizes.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or a query is not answered with status 200.
    pub fn run() -> Result<Vec<MeasuredSeries>> {
        let mut rows = vec![measure_queries()?, measure_idle_fleets()?];
        rows.extend(measure_idle_upstreams()?);
        Ok(rows)
    }
}

fn measure_queries() -> Result<MeasuredSeries> {
    let mut series = MeasuredSeries::new("anvilhubd, whole process: one query, CPU us", "shard");
    for shard_count in FANOUT_SIZES {
        let tier = TestTier::start(&tier_plan(shard_count, 1))?;
        let instance = &tier.entries[0];
        for _ in 0..WARM_UP_QUERY_COUNT {
            send_query(&tier)?;
        }
        let start = CpuMeter::process_seconds(instance.child.id())?;
        for _ in 0..MEASURED_QUERY_COUNT {
            send_query(&tier)?;
        }
        let spent = CpuMeter::process_seconds(instance.child.id())? - start;
        series.add_point(
            shard_count as usize,
            spent * 1e6 / f64::from(MEASURED_QUERY_COUNT),
        );
    }
    Ok(series)
}

fn measure_idle_fleets() -> Result<MeasuredSeries> {
    let mut series = MeasuredSeries::new(
        "anvilhubd, whole process: idle with 4 shards, CPU us per second",
        "instance",
    );
    for instance_count in IDLE_FLEET_SIZES {
        let tier = TestTier::start(&tier_plan(4, instance_count))?;
        series.add_point(instance_count, idle_micros(&tier)?);
    }
    Ok(series)
}

fn measure_idle_upstreams() -> Result<[MeasuredSeries; 2]> {
    let series = |quantity: &str| MeasuredSeries::new(quantity, "upstream");
    let mut cpu_time = series("anvilhubd, whole process: idle alone, CPU us per second");
    let mut memory = series("anvilhubd, whole process: idle alone, resident KB");
    for shard_count in IDLE_SHARD_COUNTS {
        let tier = TestTier::start(&tier_plan(shard_count, 1))?;
        let upstream_count = shard_count as usize * 2;
        cpu_time.add_point(upstream_count, idle_micros(&tier)?);
        memory.add_point(
            upstream_count,
            resident_kilobytes(tier.entries[0].child.id())?,
        );
    }
    Ok([cpu_time, memory])
}

/// Returns the resident memory of a process in kilobytes.
fn resident_kilobytes(pid: u32) -> Result<f64> {
    let path = format!("/proc/{pid}/status");
    let status = fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let size = line.and_then(|line| line.split_whitespace().next());
    Ok(size.ok_or_else(|| eyre!("{path} has no VmRSS"))?.parse()?)
}

/// Returns the CPU time in microseconds that one instance uses per second without requests.
fn idle_micros(tier: &TestTier) -> Result<f64> {
    // The instances are ready by now, but still open connections.
    thread::sleep(SETTLING_TIME);
    let total_seconds = || -> Result<f64> {
        tier.entries
            .iter()
            .map(|instance| CpuMeter::process_seconds(instance.child.id()))
            .sum()
    };
    let start = total_seconds()?;
    thread::sleep(IDLE_TIME);
    let spent = (total_seconds()? - start) / tier.entries.len() as f64;
    Ok(spent * 1e6 / IDLE_TIME.as_secs_f64())
}

/// Returns the plan of a tier with one service of searches.
fn tier_plan(shard_count: u64, entry_count: usize) -> TierPlan {
    let service = ServicePlan {
        name: "stock",
        caller: "foreman",
        repeatability: RepeatPolicy::Idempotent,
        shard_count,
        replica_count: 2,
    };
    TierPlan {
        sheet: SheetPlan {
            version: 1,
            services: vec![service],
        },
        entry_count,
        ..TierPlan::default()
    }
}

fn send_query(tier: &TestTier) -> Result<()> {
    let call = QueryCall::search("stock", "foreman")?;
    let (status, answer) = call.send(tier.entries[0].plan.caller_address)?;
    ensure!(status == 200, "status {status} instead of 200: {answer:?}");
    Ok(())
}
