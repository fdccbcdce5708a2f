//! Capacity tool: measures how state, messages and CPU time grow with the size of a deployment.

use std::alloc::System;

use anvilhub_dev::capacity::{
    HeapMeter, MeasuredSeries, MemberMeasurement, ProcessMeasurement, RequestMeasurement,
    SheetMeasurement, SpreadMeasurement, TicketMeasurement, UpstreamMeasurement,
};
use eyre::{Result, WrapErr, bail};
use lexopt::prelude::*;
use stats_alloc::StatsAlloc;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = HeapMeter::ALLOCATOR;

const HELP: &str = "\
anvilhub-capacity: measures CPU time, heap bytes and message bytes at several sizes, and fits a line

Options:
  --seed N          seed of random choices (default 20261204)
  --processes       also measure real processes on loopback, at most 18 at once for about two minutes;
                    needs `cargo build --release --workspace` first
  --help            print this text";

/// Default seed, used for the measurements in `docs/CAPACITY.md`.
const DEFAULT_SEED: u64 = 20_261_204;

fn main() -> Result<()> {
    let Some((seed, with_processes)) = parse_options()? else {
        println!("{HELP}");
        return Ok(());
    };
    let cores = std::thread::available_parallelism()?;
    println!("seed {seed}, {cores} cores");
    print_table("Sheet", &SheetMeasurement::run()?);
    print_table("Members and exchanges", &MemberMeasurement::run(seed)?);
    print_table("Spread of a change", &SpreadMeasurement::run(seed));
    print_table("Upstreams", &UpstreamMeasurement::run());
    print_table("Tickets", &TicketMeasurement::run()?);
    print_table("Decisions of a request", &RequestMeasurement::run(seed));
    if with_processes {
        print_table("Processes", &ProcessMeasurement::run()?);
    }
    Ok(())
}

fn print_table(title: &str, rows: &[MeasuredSeries]) {
    println!("\n## {title}\n");
    println!("| quantity | per | slope | intercept | R2 | points |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for row in rows {
        println!("{row}");
    }
}

fn parse_options() -> Result<Option<(u64, bool)>> {
    let (mut seed, mut with_processes) = (DEFAULT_SEED, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => seed = parser.value()?.parse()?,
            Long("processes") => with_processes = true,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected()).wrap_err("see anvilhub-capacity --help"),
        }
    }
    let max_seed = u64::MAX / 2;
    if seed > max_seed {
        bail!("--seed {seed} is too large; the maximum is {max_seed}");
    }
    Ok(Some((seed, with_processes)))
}
