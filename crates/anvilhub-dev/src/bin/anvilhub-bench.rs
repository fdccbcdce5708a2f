//! Load simulation: compares the decision logic of the tier with a fixed baseline in virtual time.

use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;
use std::thread;

use anvilhub_dev::bench::{
    Deployment, RunResults, RunStats, Scenario, ServiceSimulation, Variant, write_csv,
    write_summary, write_table,
};
use eyre::{Result, WrapErr, bail};
use lexopt::prelude::*;

const HELP: &str = "\
anvilhub-bench: measures the tier's decisions against the baseline in virtual time

Options:
  --seed N          first seed of arrivals and service times (default 1)
  --runs N          number of runs with consecutive seeds, whose results are added up (default 3)
  --scenario NAME   one of steady, slowed, misleading, peak, domain_lost (default: all)
  --variant NAME    compare only this variant with the baseline (default: all)
  --by-desk         one table per service instead of one per deployment
  --plot FILE       write goodput and load over time as CSV
  --help            print this text";

struct Options {
    seed: u64,
    runs: u64,
    scenarios: Vec<Scenario>,
    variants: Vec<Variant>,
    by_service: bool,
    plot: Option<PathBuf>,
}

fn main() -> Result<()> {
    let Some(options) = parse_options()? else {
        println!("{HELP}");
        return Ok(());
    };
    let mut out = io::stdout().lock();
    let mut plot = match &options.plot {
        Some(path) => Some(File::create(path).wrap_err_with(|| {
            let path = path.display();
            format!("cannot create {path}; choose a writable file for --plot")
        })?),
        None => None,
    };
    if let Some(plot) = &mut plot {
        writeln!(
            plot,
            "deployment,scenario,variant,seconds,arrived,good,needed,sent"
        )?;
    }
    writeln!(out, "first seed {}, runs {}", options.seed, options.runs)?;
    for deployment in Deployment::all() {
        let tables: Vec<(String, Vec<usize>)> = match options.by_service {
            true => (0..4)
                .map(|service| (deployment.services[service].name.to_owned(), vec![service]))
                .collect(),
            false => vec![(deployment.name.to_owned(), vec![0, 1, 2, 3])],
        };
        for (name, services) in tables {
            let results = run_simulations(&deployment, &services, &options);
            write_table(&mut out, &name, &results)?;
            if options.scenarios.len() == Scenario::ALL.len() {
                for variant in options
                    .variants
                    .iter()
                    .filter(|variant| !variant.is_baseline)
                {
                    write_summary(&mut out, &results, variant.name)?;
                }
            }
            if let Some(plot) = &mut plot {
                write_csv(plot, &name, &results)?;
            }
        }
    }
    Ok(())
}

/// Runs every combination of scenario and variant on a thread of its own; the runs share no state.
fn run_simulations(deployment: &Deployment, services: &[usize], options: &Options) -> RunResults {
    let run = &|scenario: Scenario, variant: Variant| {
        let mut stats = RunStats::default();
        for seed in options.seed..options.seed + options.runs {
            for &service in services {
                let simulation = ServiceSimulation::new(
                    deployment.services[service],
                    deployment.caller_latency,
                    scenario,
                    variant,
                    seed.wrapping_add(service as u64 * 1_000),
                );
                stats.merge(&simulation.run());
            }
        }
        ((scenario, variant.name), stats)
    };
    let pairs = options.scenarios.iter().flat_map(|&scenario| {
        options
            .variants
            .iter()
            .map(move |&variant| (scenario, variant))
    });
    thread::scope(|scope| {
        let threads: Vec<_> = pairs
            .map(|(scenario, variant)| scope.spawn(move || run(scenario, variant)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("a run does not panic"))
            .collect()
    })
}

fn parse_options() -> Result<Option<Options>> {
    let mut options = Options {
        seed: 1,
        runs: 3,
        scenarios: Scenario::ALL.to_vec(),
        variants: Variant::ALL.to_vec(),
        by_service: false,
        plot: None,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("runs") => options.runs = parser.value()?.parse()?,
            Long("scenario") => {
                let name = parser.value()?.string()?;
                options
                    .scenarios
                    .retain(|scenario| scenario.to_string() == name);
            }
            Long("variant") => {
                let name = parser.value()?.string()?;
                options
                    .variants
                    .retain(|variant| variant.is_baseline || variant.name == name);
            }
            Long("by-desk") => options.by_service = true,
            Long("plot") => options.plot = Some(parser.value()?.into()),
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected()).wrap_err("see anvilhub-bench --help"),
        }
    }
    if options.scenarios.is_empty() {
        bail!("no scenario has the name given with --scenario; see anvilhub-bench --help");
    }
    Ok(Some(options))
}
