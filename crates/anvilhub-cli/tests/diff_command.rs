//! Guards against changes that `anvilhub diff` does not show.

use crate::tool::run_tool;

#[test]
fn text_shows_changes() {
    let run = run_tool(&["diff", "minimal.json", "broken/unconfirmed-loss.json"]);
    assert_eq!(run.code, Some(0));
    assert_eq!(
        run.output,
        "version 1 -> 2\n~ service booking\n  ~ shard shard-00\n    - replica booking-00-1\n"
    );
}

#[test]
fn json_shows_changes() {
    let run = run_tool(&["diff", "--json", "bordurtas.json", "hanbit.json"]);
    assert_eq!(run.code, Some(0));
    let diff: serde_json::Value = serde_json::from_str(&run.output).unwrap();
    assert_eq!(diff["added"][0], "counter-desk");
    assert_eq!(diff["removed"].as_array().map(Vec::len), Some(4));
}

#[test]
fn faulty_sheet_rejected() {
    let run = run_tool(&["diff", "minimal.json", "broken/truncated.json"]);
    assert_eq!(run.code, Some(1));
    assert!(
        run.errors.contains("`anvilhub check` lists them"),
        "{}",
        run.errors
    );
}

#[test]
fn single_sheet_rejected() {
    assert_eq!(run_tool(&["diff", "minimal.json"]).code, Some(2));
}
