//! Checks of what the caller of a fan-out observes.

use std::collections::BTreeSet;

use anvilhub_coord::gather::GatheredAnswer;
use anvilhub_coord::ids::SnapshotId;

use super::fanout_simulation::REQUESTED_RANGE;

/// Returns the violation of the guarantee `one_snapshot` in `answer`, if any.
pub fn one_snapshot_violation(answer: &GatheredAnswer) -> Option<String> {
    let snapshot = answer.snapshot.map_or(0, SnapshotId::get);
    let expected = format!("/s{snapshot}/");
    let row = (answer.rows.iter()).find(|row| !row.value.contains(&expected))?;
    Some(format!(
        "the answer of snapshot {snapshot} has a row of another one: {}",
        row.value
    ))
}

/// Returns the violation of the guarantee `true_coverage`, if any: a difference between the reported coverage and the
/// rows. Every requested key has exactly one row.
pub fn true_coverage_violation(answer: &GatheredAnswer) -> Option<String> {
    let coverage = &answer.coverage;
    for key in REQUESTED_RANGE.start..REQUESTED_RANGE.end {
        let rows = answer.rows.iter().filter(|row| row.key == key).count();
        let missing = coverage
            .missing
            .iter()
            .filter(|missing| missing.range.contains(key))
            .count();
        if rows + missing != 1 {
            return Some(format!(
                "key {key} has {rows} rows and is reported missing {missing} times"
            ));
        }
    }
    let true_fraction = answer.rows.len() as f64 / REQUESTED_RANGE.len() as f64;
    let is_true =
        coverage.fraction == true_fraction && coverage.is_complete == (true_fraction == 1.0);
    (!is_true).then(|| {
        format!(
            "reported coverage {}, complete: {}; the rows cover {true_fraction}",
            coverage.fraction, coverage.is_complete
        )
    })
}

/// Returns the violation of the guarantee `own_answer`, if any: a row of another request or a duplicate row.
pub fn own_answer_violation(answer: &GatheredAnswer) -> Option<String> {
    let mut seen = BTreeSet::new();
    let row =
        (answer.rows.iter()).find(|row| !row.value.starts_with("own/") || !seen.insert(row.key))?;
    Some(format!(
        "row {} belongs to another request or is a duplicate",
        row.value
    ))
}

/// Returns the snapshot, the completeness and the missing ranges of `answer` as text.
pub fn summary(answer: &GatheredAnswer) -> String {
    let snapshot = answer
        .snapshot
        .map_or("none".to_owned(), |id| id.to_string());
    let missing: Vec<_> = answer
        .coverage
        .missing
        .iter()
        .map(ToString::to_string)
        .collect();
    match answer.coverage.is_complete {
        true => format!("snapshot {snapshot}, complete"),
        false => format!("snapshot {snapshot}, missing {}", missing.join(", ")),
    }
}
