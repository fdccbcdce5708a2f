use std::collections::BTreeMap;
use std::io::{self, Write};

use anvilhub_coord::sheet::UrgencyClass;

use super::{LoadTally, Scenario, Variant};

/// Figures by scenario and variant.
pub type Results = BTreeMap<(Scenario, &'static str), LoadTally>;

const HEADER: &str = "| scenario | variant | p50 ms | p99 ms | p99.9 ms | coverage | complete | extra load | \
worst second | urgent | standard | deferred | recovery s | refused | ran twice | messages/query |";

/// Writes the table of one deployment; the ratio to the baseline follows each figure.
///
/// # Errors
///
/// Fails when `out` cannot be written.
pub fn write_table(out: &mut impl Write, name: &str, results: &Results) -> io::Result<()> {
    writeln!(out, "\n### {name}\n\n{HEADER}")?;
    writeln!(out, "|{}", " --- |".repeat(16))?;
    for ((scenario, variant), tally) in results {
        let Some(baseline) = results.get(&(*scenario, Variant::BASELINE.name)) else {
            continue;
        };
        writeln!(
            out,
            "| {scenario} | {variant} | {} |",
            cells(*scenario, tally, baseline).join(" | ")
        )?;
    }
    Ok(())
}

fn cells(scenario: Scenario, tally: &LoadTally, baseline: &LoadTally) -> Vec<String> {
    let millis = |quantile| {
        let (own, base) = (tally.millis_at(quantile), baseline.millis_at(quantile));
        format!("{own:.1} (x{:.2})", own / base)
    };
    let share = |own: f64, base: f64| format!("{:.3}% (x{:.2})", own * 100.0, own / base);
    let in_time = |class| share(tally.in_time(class), baseline.in_time(class));
    let recovery = match (scenario, tally.recovery_seconds()) {
        (Scenario::Peak, Some(seconds)) => match baseline.recovery_seconds() {
            Some(base) if base > 0.0 => format!("{seconds:.2} (x{:.2})", seconds / base),
            Some(_) => format!("{seconds:.2} (baseline 0)"),
            None => format!("{seconds:.2} (baseline never)"),
        },
        (Scenario::Peak, None) => "never".to_owned(),
        _ => "-".to_owned(),
    };
    vec![
        millis(0.5),
        millis(0.99),
        millis(0.999),
        share(tally.mean_coverage(), baseline.mean_coverage()),
        share(tally.complete_share(), baseline.complete_share()),
        share(tally.extra_load(), baseline.extra_load()),
        share(tally.worst_extra_load(), baseline.worst_extra_load()),
        in_time(UrgencyClass::Urgent),
        in_time(UrgencyClass::Standard),
        in_time(UrgencyClass::Deferred),
        recovery,
        format!(
            "{:.2}%",
            tally.refused as f64 * 100.0 / tally.queries.max(1) as f64
        ),
        tally.ran_twice.to_string(),
        format!("{:.1}", tally.messages as f64 / tally.queries.max(1) as f64),
    ]
}

/// Writes the targets of the design page against the figures of `variant`.
///
/// # Errors
///
/// Fails when `out` cannot be written.
pub fn write_summary(out: &mut impl Write, results: &Results, variant: &str) -> io::Result<()> {
    let own = |scenario| &results[&(scenario, results_key(results, variant))];
    let base = |scenario| &results[&(scenario, Variant::BASELINE.name)];
    let ratio = |scenario| own(scenario).millis_at(0.99) / base(scenario).millis_at(0.99);
    let worst = Scenario::ALL
        .map(|scenario| own(scenario).worst_extra_load())
        .into_iter()
        .fold(0.0, f64::max);
    let recovery = own(Scenario::Peak).recovery_seconds();
    let lines = [
        ("p99 steady / baseline <= 1", ratio(Scenario::Steady)),
        ("p99 slowed / baseline <= 0.333", ratio(Scenario::Slowed)),
        (
            "complete when slowed >= 0.999",
            own(Scenario::Slowed).complete_share(),
        ),
        ("extra load in the worst second <= 0.05", worst),
        (
            "urgent in time at the peak >= 0.99",
            own(Scenario::Peak).in_time(UrgencyClass::Urgent),
        ),
        ("seconds to recover <= 2", recovery.unwrap_or(f64::INFINITY)),
    ];
    writeln!(out, "\nTargets, {variant}:\n")?;
    for (target, value) in lines {
        writeln!(out, "- {target}: {value:.4}")?;
    }
    Ok(())
}

fn results_key(results: &Results, variant: &str) -> &'static str {
    results
        .keys()
        .map(|(_, name)| *name)
        .find(|name| *name == variant)
        .unwrap_or(Variant::BASELINE.name)
}

/// Writes the goodput of every step as CSV for a plot.
///
/// # Errors
///
/// Fails when `out` cannot be written.
pub fn write_csv(out: &mut impl Write, name: &str, results: &Results) -> io::Result<()> {
    for ((scenario, variant), tally) in results {
        for (step, (arrived, good)) in tally.goodput_steps.iter().enumerate() {
            let (needed, sent) = tally.load_steps[step];
            let seconds = step as f64 / 4.0;
            writeln!(
                out,
                "{name},{scenario},{variant},{seconds},{arrived},{good},{needed},{sent}"
            )?;
        }
    }
    Ok(())
}
