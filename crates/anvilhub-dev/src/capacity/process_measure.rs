use std::time::Duration;
use std::{fs, thread};

use anvilhub_coord::border::sheet::RepeatPolicy;
use eyre::{Result, WrapErr, ensure, eyre};

use super::{CpuMeter, MeasuredSeries};
use crate::process::{QueryCall, ServicePlan, SheetPlan, TestTier, TierPlan};

/// Shards of the measured service.
const FAN_OUTS: [u64; 4] = [4, 8, 20, 50];

/// Queries before the measurement, so that connections are open and the code is in the caches.
const WARM_UP: u32 = 100;

/// Queries of the measurement. With 10 ms steps of the CPU clock the error is below 1% at 1 s of CPU time.
const QUERIES: u32 = 600;

/// Idle instances. With the platform and the upstreams at most 18 processes run at once.
const FLEETS: [usize; 4] = [2, 4, 8, 16];

/// Shards with two replicas each that one idle instance owns.
const IDLE_SHARDS: [u64; 4] = [10, 40, 100, 160];

/// Time before an idle measurement.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Length of the idle measurement.
const IDLE_TIME: Duration = Duration::from_secs(8);

/// CPU time of real entry processes on the loopback device.
#[derive(Clone, Copy, Debug)]
pub struct ProcessMeasure;

impl ProcessMeasure {
    /// Measures queries at several fan-outs and idle fleets of several sizes.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or a query is not answered completely.
    pub fn run() -> Result<Vec<MeasuredSeries>> {
        let mut rows = vec![queries()?, idle_fleet()?];
        rows.extend(idle_upstreams()?);
        Ok(rows)
    }
}

fn queries() -> Result<MeasuredSeries> {
    let mut series = MeasuredSeries::new("anvilhubd, whole process: one query, CPU us", "shard");
    for shards in FAN_OUTS {
        let tier = TestTier::start(&plan(shards, 1))?;
        let entry = &tier.entries[0];
        for _ in 0..WARM_UP {
            query(&tier)?;
        }
        let start = CpuMeter::of_process(entry.child.id())?;
        for _ in 0..QUERIES {
            query(&tier)?;
        }
        let spent = CpuMeter::of_process(entry.child.id())? - start;
        series.add(shards as usize, spent * 1e6 / f64::from(QUERIES));
    }
    Ok(series)
}

fn idle_fleet() -> Result<MeasuredSeries> {
    let mut series = MeasuredSeries::new(
        "anvilhubd, whole process: idle with 4 shards, CPU us per second",
        "instance",
    );
    for entries in FLEETS {
        let tier = TestTier::start(&plan(4, entries))?;
        series.add(entries, idle_micros(&tier)?);
    }
    Ok(series)
}

fn idle_upstreams() -> Result<[MeasuredSeries; 2]> {
    let series = |quantity: &str| MeasuredSeries::new(quantity, "upstream");
    let mut work = series("anvilhubd, whole process: idle alone, CPU us per second");
    let mut memory = series("anvilhubd, whole process: idle alone, resident KB");
    for shards in IDLE_SHARDS {
        let tier = TestTier::start(&plan(shards, 1))?;
        let upstreams = shards as usize * 2;
        work.add(upstreams, idle_micros(&tier)?);
        memory.add(upstreams, resident_kilobytes(tier.entries[0].child.id())?);
    }
    Ok([work, memory])
}

fn resident_kilobytes(pid: u32) -> Result<f64> {
    let path = format!("/proc/{pid}/status");
    let status = fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let size = line.and_then(|line| line.split_whitespace().next());
    Ok(size.ok_or_else(|| eyre!("{path} has no VmRSS"))?.parse()?)
}

/// CPU time of one entry in a second without requests, in microseconds.
fn idle_micros(tier: &TestTier) -> Result<f64> {
    // Starting and learning are over when all are ready; connections open meanwhile.
    thread::sleep(SETTLE_TIME);
    let total = || -> Result<f64> {
        tier.entries
            .iter()
            .map(|entry| CpuMeter::of_process(entry.child.id()))
            .sum()
    };
    let start = total()?;
    thread::sleep(IDLE_TIME);
    let spent = (total()? - start) / tier.entries.len() as f64;
    Ok(spent * 1e6 / IDLE_TIME.as_secs_f64())
}

fn plan(shards: u64, entries: usize) -> TierPlan {
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

fn query(tier: &TestTier) -> Result<()> {
    let call = QueryCall::search("stock", "foreman")?;
    let (status, answer) = call.send(tier.entries[0].plan.caller_address)?;
    ensure!(status == 200, "status {status}: {answer:?}");
    Ok(())
}
