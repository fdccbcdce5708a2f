use std::collections::BTreeMap;
use std::io::{self, Write};

use anvilhub_coord::sheet::UrgencyClass;

use super::run_stats::STEPS_PER_SECOND;
use super::{RunStats, Scenario, Variant};

/// Statistics by scenario and variant.
pub type RunResults = BTreeMap<(Scenario, &'static str), RunStats>;

const HEADER: &str = "| scenario | variant | p50 ms | p99 ms | p99.9 ms | coverage | complete | extra load | \
worst second | urgent | standard | deferred | recovery s | refused | ran twice | messages/query |";

/// Writes the table of one deployment; each value is followed by its ratio to the baseline.
///
/// # Errors
///
/// Returns an error if `out` cannot be written.
pub fn write_table(out: &mut impl Write, name: &str, results: &RunResults) -> io::Result<()> {
    writeln!(out, "\n### {name}\n\n{HEADER}")?;
    writeln!(out, "|{}", " --- |".repeat(16))?;
    for ((scenario, variant), stats) in results {
        let Some(baseline) = results.get(&(*scenario, Variant::BASELINE.name)) else {
            continue;
        };
        writeln!(
            out,
            "| {scenario} | {variant} | {} |",
            table_cells(*scenario, stats, baseline).join(" | ")
        )?;
    }
    Ok(())
}

fn table_cells(scenario: Scenario, stats: &RunStats, baseline: &RunStats) -> Vec<String> {
    let millis = |quantile| {
        let (own, base) = (
            stats.latency_millis(quantile),
            baseline.latency_millis(quantile),
        );
        format!("{own:.1} (x{:.2})", own / base)
    };
    let percentage = |own: f64, base: f64| format!("{:.3}% (x{:.2})", own * 100.0, own / base);
    let good_by_urgency = |class| {
        percentage(
            stats.good_fraction_by_urgency(class),
            baseline.good_fraction_by_urgency(class),
        )
    };
    let recovery = match (scenario, stats.recovery_seconds()) {
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
        percentage(stats.mean_coverage(), baseline.mean_coverage()),
        percentage(stats.good_fraction(), baseline.good_fraction()),
        percentage(stats.extra_load(), baseline.extra_load()),
        percentage(stats.max_extra_load(), baseline.max_extra_load()),
        good_by_urgency(UrgencyClass::Urgent),
        good_by_urgency(UrgencyClass::Standard),
        good_by_urgency(UrgencyClass::Deferred),
        recovery,
        format!(
            "{:.2}%",
            stats.refused_count as f64 * 100.0 / stats.query_count.max(1) as f64
        ),
        stats.repeated_run_count.to_string(),
        format!(
            "{:.1}",
            stats.message_count as f64 / stats.query_count.max(1) as f64
        ),
    ]
}

/// Writes the values of `variant` next to the targets of the design page.
///
/// # Errors
///
/// Returns an error if `out` cannot be written.
pub fn write_summary(out: &mut impl Write, results: &RunResults, variant: &str) -> io::Result<()> {
    let stats = |scenario| &results[&(scenario, variant_key(results, variant))];
    let baseline = |scenario| &results[&(scenario, Variant::BASELINE.name)];
    let p99_ratio =
        |scenario| stats(scenario).latency_millis(0.99) / baseline(scenario).latency_millis(0.99);
    let max_extra_load = Scenario::ALL
        .map(|scenario| stats(scenario).max_extra_load())
        .into_iter()
        .fold(0.0, f64::max);
    let recovery = stats(Scenario::Peak).recovery_seconds();
    let lines = [
        ("p99 steady / baseline <= 1", p99_ratio(Scenario::Steady)),
        (
            "p99 slowed / baseline <= 0.333",
            p99_ratio(Scenario::Slowed),
        ),
        (
            "complete when slowed >= 0.999",
            stats(Scenario::Slowed).good_fraction(),
        ),
        ("extra load in the worst second <= 0.05", max_extra_load),
        (
            "urgent in time at the peak >= 0.99",
            stats(Scenario::Peak).good_fraction_by_urgency(UrgencyClass::Urgent),
        ),
        ("seconds to recover <= 2", recovery.unwrap_or(f64::INFINITY)),
    ];
    writeln!(out, "\nTargets, {variant}:\n")?;
    for (target, value) in lines {
        writeln!(out, "- {target}: {value:.4}")?;
    }
    Ok(())
}

fn variant_key(results: &RunResults, variant: &str) -> &'static str {
    results
        .keys()
        .map(|(_, name)| *name)
        .find(|name| *name == variant)
        .unwrap_or(Variant::BASELINE.name)
}

/// Writes the load and goodput of every step as CSV, for plotting.
///
/// # Errors
///
/// Returns an error if `out` cannot be written.
pub fn write_csv(out: &mut impl Write, name: &str, results: &RunResults) -> io::Result<()> {
    for ((scenario, variant), stats) in results {
        for (step, (arrived, good)) in stats.goodput_steps.iter().enumerate() {
            let (first_attempts, attempts) = stats.load_steps[step];
            let seconds = step as f64 / STEPS_PER_SECOND as f64;
            writeln!(
                out,
                "{name},{scenario},{variant},{seconds},{arrived},{good},{first_attempts},{attempts}"
            )?;
        }
    }
    Ok(())
}
