//! Guards against a change of a sheet that the comparison or the digests do not show.

use std::fs;

use anvilhub_coord::sheet::{CheckedSheet, SheetDiff};

use crate::sheets::{example_path, read_example};

/// Returns the minimal example with the first occurrence of each text replaced.
fn edit_example(edits: &[(&str, &str)]) -> CheckedSheet {
    let mut text = fs::read_to_string(example_path("minimal.json")).unwrap();
    for (from, to) in edits {
        assert!(text.contains(from), "the example lacks {from}");
        text = text.replacen(from, to, 1);
    }
    CheckedSheet::from_bytes(text.as_bytes()).unwrap()
}

#[test]
fn every_change_shown() {
    let new = edit_example(&[
        (r#""version": 1"#, r#""version": 2"#),
        (r#""urgency": "urgent""#, r#""urgency": "standard""#),
        (
            r#""default_deadline_ms": 500"#,
            r#""default_deadline_ms": 700"#,
        ),
        (r#""stock-00-1""#, r#""stock-00-9""#),
        ("127.0.0.1:23003", "127.0.0.1:23103"),
        (
            r#""start": 0, "end": 2147483648"#,
            r#""start": 0, "end": 2147483649"#,
        ),
        (r#""start": 2147483648"#, r#""start": 2147483649"#),
        (r#""name": "booking""#, r#""name": "orders""#),
    ]);
    insta::assert_snapshot!(SheetDiff::between(&read_example("minimal.json"), &new));
}

/// Guards against instances that disagree on the digest of a sheet because they read it with different whitespace or
/// another comment, neither of which is part of the content.
#[test]
fn comment_keeps_digest() {
    let spaced = edit_example(&[("{", "{ \n \"comment\": \"morning\",")]);
    let minimal = read_example("minimal.json");
    assert_eq!(spaced.digest, minimal.digest);
    assert!(SheetDiff::between(&minimal, &spaced).is_empty());
}

#[test]
fn one_digest_changes() {
    let changed = edit_example(&[(r#""urgency": "urgent""#, r#""urgency": "standard""#)]);
    let minimal = read_example("minimal.json");
    let differing: Vec<&str> = minimal
        .service_digests()
        .iter()
        .filter(|(name, digest)| changed.service_digests().get(name) != Some(*digest))
        .map(|(name, _)| name.as_str())
        .collect();
    assert_eq!(differing, ["stock"]);
    assert_ne!(changed.digest, minimal.digest);
}
