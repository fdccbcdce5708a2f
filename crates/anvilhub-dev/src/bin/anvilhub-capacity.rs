//! Capacity tool: measures how state, messages and work grow with the size of a deployment.

use std::alloc::System;

use anvilhub_dev::capacity::{
    HeapMeter, MeasuredSeries, MemberMeasure, ProcessMeasure, RequestMeasure, SheetMeasure,
    SpreadMeasure, TicketMeasure, UpstreamMeasure,
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

/// Seed of the figures in `docs/CAPACITY.md`.
const SEED: u64 = 20_261_204;

fn main() -> Result<()> {
    let Some((seed, with_processes)) = parse()? else {
        println!("{HELP}");
        return Ok(());
    };
    let cores = std::thread::available_parallelism()?;
    println!("seed {seed}, {cores} cores");
    print("Sheet", &SheetMeasure::run()?);
    print("Members and exchanges", &MemberMeasure::run(seed)?);
    print("Spread of a change", &SpreadMeasure::run(seed));
    print("Upstreams", &UpstreamMeasure::run());
    print("Tickets", &TicketMeasure::run()?);
    print("Decisions of a request", &RequestMeasure::run(seed));
    if with_processes {
        print("Processes", &ProcessMeasure::run()?);
    }
    Ok(())
}

fn print(title: &str, rows: &[MeasuredSeries]) {
    println!("\n## {title}\n");
    println!("| quantity | per | slope | intercept | R2 | points |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for row in rows {
        println!("{row}");
    }
}

fn parse() -> Result<Option<(u64, bool)>> {
    let (mut seed, mut with_processes) = (SEED, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => seed = parser.value()?.parse()?,
            Long("processes") => with_processes = true,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected()).wrap_err("see anvilhub-capacity --help"),
        }
    }
    if seed > u64::MAX / 2 {
        bail!("choose a smaller --seed");
    }
    Ok(Some((seed, with_processes)))
}
