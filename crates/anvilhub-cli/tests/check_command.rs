//! Guards against faulty sheets that `anvilhub check` accepts, and against reports without a remedy.

use crate::tool::run_tool;

#[test]
fn valid_sheets_pass() {
    for sheet in ["bordurtas.json", "hanbit.json", "minimal.json"] {
        let run = run_tool(&["check", sheet]);
        assert_eq!(run.code, Some(0), "{}", run.output);
        assert_eq!(run.output, format!("{sheet}: no faults\n"));
    }
}

#[test]
fn faults_are_listed() {
    let run = run_tool(&["check", "broken/many-faults.json"]);
    assert_eq!(run.code, Some(1));
    insta::assert_snapshot!(run.output);
}

#[test]
fn unsafe_step_reported() {
    let alone = run_tool(&["check", "broken/unconfirmed-removal.json"]);
    assert_eq!(alone.code, Some(0));
    let step = run_tool(&[
        "check",
        "broken/unconfirmed-removal.json",
        "--against",
        "minimal.json",
    ]);
    assert_eq!(step.code, Some(1));
    assert!(step.output.contains("the service `booking` disappears"));
}

#[test]
fn json_names_place() {
    let run = run_tool(&["check", "--json", "broken/zero-slots.json"]);
    assert_eq!(run.code, Some(1));
    let report: serde_json::Value = serde_json::from_str(&run.output).unwrap();
    assert_eq!(report["valid"], false);
    assert_eq!(
        report["faults"][0]["place"],
        "/services/0/shards/0/replicas/0/slots"
    );
}

#[test]
fn wrong_usage_rejected() {
    let cases: [&[&str]; 7] = [
        &[],
        &["chekc"],
        &["check"],
        &["check", "missing.json"],
        &["check", "--strict", "minimal.json"],
        &["check", "minimal.json", "hanbit.json"],
        &["check", "minimal.json", "--against"],
    ];
    for arguments in cases {
        let run = run_tool(arguments);
        assert_eq!(run.code, Some(2), "{arguments:?}");
        assert_eq!(run.output, "");
        assert!(run.errors.starts_with("anvilhub: "), "{}", run.errors);
    }
}

#[test]
fn help_is_shown() {
    for arguments in [&["--help"][..], &["check", "--help"], &["diff", "-h"]] {
        let run = run_tool(arguments);
        assert_eq!(run.code, Some(0));
        assert!(run.output.contains("Usage: anvilhub"), "{}", run.output);
    }
}
