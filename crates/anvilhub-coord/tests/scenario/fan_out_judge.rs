//! What callers of a fan-out must never observe.

use std::collections::BTreeSet;

use anvilhub_coord::gather::GatheredAnswer;
use anvilhub_coord::ids::SnapshotId;

use super::fan_out_world::ASKED;

/// The breach of "one snapshot" in `answer`, if any.
pub fn breach_of_snapshot(answer: &GatheredAnswer) -> Option<String> {
    let snapshot = answer.snapshot.map_or(0, SnapshotId::get);
    let expected = format!("/s{snapshot}/");
    let row = (answer.rows.iter()).find(|row| !row.value.contains(&expected))?;
    Some(format!("snapshot {snapshot} holds {}", row.value))
}

/// The difference between the stated coverage and the rows, if any. Every asked key has a row.
pub fn breach_of_coverage(answer: &GatheredAnswer) -> Option<String> {
    let coverage = &answer.coverage;
    for key in ASKED.start..ASKED.end {
        let rows = answer.rows.iter().filter(|row| row.key == key).count();
        let missing = coverage
            .missing
            .iter()
            .filter(|part| part.range.contains(key))
            .count();
        if rows + missing != 1 {
            return Some(format!(
                "key {key} has {rows} rows and is named missing {missing} times"
            ));
        }
    }
    let truth = answer.rows.len() as f64 / ASKED.len() as f64;
    let is_true = coverage.fraction == truth && coverage.is_complete == (truth == 1.0);
    (!is_true).then(|| format!("stated {}, true {truth}", coverage.fraction))
}

/// A row of another request in `answer`, or one that came twice, if any.
pub fn breach_of_own(answer: &GatheredAnswer) -> Option<String> {
    let mut seen = BTreeSet::new();
    let row =
        (answer.rows.iter()).find(|row| !row.value.starts_with("own/") || !seen.insert(row.key))?;
    Some(format!(
        "row {} is another request's or came twice",
        row.value
    ))
}

/// The snapshot, the completeness and the missing ranges of `answer`.
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
