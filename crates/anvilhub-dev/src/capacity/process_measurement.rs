use std::time::Duration;
use std::{fs, thread};

use anvilhub_coord::border::sheet::RepeatPolicy;
use eyre::{Result, WrapErr, ensure, eyre};

use super::{CpuMeter, MeasuredSeries};
use crate::process::{QueryCall, ServicePlan, SheetPlan, TestTier, TierPlan};

/// Numbers of shards of the measured service.
const FANOUT_SIZES: [u64; 4] = [4, 8, 20, 50];

/// Number of queries before the measurement, which open the connections and fill the caches.
const WARM_UP_QUERIES: u32 = 100;

/// Number of measured queries. The CPU clock has a resolution of 10 ms, so the error is below 1% from 1 s of CPU time on.
const MEASURED_QUERIES: u32 = 600;

/// Numbers of idle instances. With the platform and the upstreams, at most 18 processes run at the same time.
const IDLE_FLEET_SIZES: [usize; 4] = [2, 4, 8, 16];

/// Numbers of shards, with two replicas each, that one idle instance owns.
const IDLE_SHARD_COUNTS: [u64; 4] = [10, 40, 100, 160];

/// Wait before an idle measurement, so that starting is over.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Duration of an idle measurement.
const IDLE_TIME: Duration = Duration::from_secs(8);

/// CPU time and memory of real `anvilhubd` processes on loopback.
#[derive(Clone, Copy, Debug)]
pub struct ProcessMeasurement;

impl ProcessMeasurement {
    /// Measures queries with several fan-out sizes, and idle fleets of several sizes.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or a query is not answered with status 200.
    pub fn run() -> Result<Vec<MeasuredSeries>> {
        let mut rows = vec![query_series()?, idle_fleet_series()?];
        rows.extend(idle_upstream_series()?);
        Ok(rows)
    }
}

fn query_series() -> Result<MeasuredSeries> {
    let mut series = MeasuredSeries::new("anvilhubd, whole process: one query, CPU us", "shard");
    for shards in FANOUT_SIZES {
        let tier = TestTier::start(&tier_plan(shards, 1))?;
        let instance = &tier.entries[0];
        for _ in 0..WARM_UP_QUERIES {
            send_query(&tier)?;
        }
        let start = CpuMeter::process_seconds(instance.child.id())?;
        for _ in 0..MEASURED_QUERIES {
            send_query(&tier)?;
        }
        let spent = CpuMeter::process_seconds(instance.child.id())? - start;
        series.add_point(shards as usize, spent * 1e6 / f64::from(MEASURED_QUERIES));
    }
    Ok(series)
}

fn idle_fleet_series() -> Result<MeasuredSeries> {
    let mut series = MeasuredSeries::new(
        "anvilhubd, whole process: idle with 4 shards, CPU us per second",
        "instance",
    );
    for instances in IDLE_FLEET_SIZES {
        let tier = TestTier::start(&tier_plan(4, instances))?;
        series.add_point(instances, idle_micros(&tier)?);
    }
    Ok(series)
}

fn idle_upstream_series() -> Result<[MeasuredSeries; 2]> {
    let series = |quantity: &str| MeasuredSeries::new(quantity, "upstream");
    let mut cpu_time = series("anvilhubd, whole process: idle alone, CPU us per second");
    let mut memory = series("anvilhubd, whole process: idle alone, resident KB");
    for shards in IDLE_SHARD_COUNTS {
        let tier = TestTier::start(&tier_plan(shards, 1))?;
        let upstreams = shards as usize * 2;
        cpu_time.add_point(upstreams, idle_micros(&tier)?);
        memory.add_point(upstreams, resident_kilobytes(tier.entries[0].child.id())?);
    }
    Ok([cpu_time, memory])
}

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

fn tier_plan(shards: u64, entries: usize) -> TierPlan {
    let service = ServicePlan {
        name: "stock",
        caller: "foreman",
        repeatability: RepeatPolicy::Idempotent,
        shards,
        replicas: 2,
    };
    TierPlan {
        sheet: SheetPlan {
            version: 1,
            services: vec![service],
        },
        entries,
        ..TierPlan::default()
    }
}

fn send_query(tier: &TestTier) -> Result<()> {
    let call = QueryCall::search("stock", "foreman")?;
    let (status, answer) = call.send(tier.entries[0].plan.caller_address)?;
    ensure!(status == 200, "status {status}: {answer:?}");
    Ok(())
}
