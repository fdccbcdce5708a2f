//! Guards against a fault matrix that assigns a test to the wrong cell or hides a missing test.

use anvilhub_dev::matrix::{
    CellExemption, FaultMatrix, MatrixCell, MatrixError, MutationRecord, TestVerdict, VerdictReport,
};

fn cell_name(test: &str) -> Option<String> {
    MatrixCell::from_test_path(test).map(|cell| cell.to_string())
}

#[test]
fn cells_follow_names() {
    let cases = [
        (
            "matrix::own_answer::late_answer",
            Some("own_answer late_answer"),
        ),
        (
            "matrix::at_most_once::config_stale_at_each_step",
            Some("at_most_once config_stale"),
        ),
        (
            "matrix::true_not_run_admission::replica_lost_twice",
            Some("true_not_run replica_lost"),
        ),
        (
            "matrix::at_most_once::config_stale_and_killed_at_each_step",
            Some("at_most_once config_stale_and_killed"),
        ),
        ("ticket_table::resend_waits", None),
        ("matrix::other::late_answer", None),
    ];
    for (test, expected) in cases {
        assert_eq!(cell_name(test).as_deref(), expected, "{test}");
    }
}

/// Returns an exemption for every required cell except those of `tested`.
fn build_exemptions(tested: &[&str]) -> Vec<CellExemption> {
    let cells = MatrixCell::all_required().map(|cell| cell.to_string());
    let lines = cells.filter(|cell| !tested.contains(&cell.as_str()));
    let lines: Vec<_> = lines.map(|cell| format!("open {cell} later")).collect();
    CellExemption::parse_all(&lines.join("\n")).unwrap()
}

#[test]
fn uncovered_cells_fail() {
    let matrix = FaultMatrix::from_test_output("matrix::own_answer::late_answer: test\n");
    let complete = build_exemptions(&["own_answer late_answer"]);
    assert_eq!(matrix.check(&complete), Ok(()));

    let incomplete = build_exemptions(&["own_answer late_answer", "own_answer config_down"]);
    let cells = vec!["own_answer config_down".to_owned()];
    assert_eq!(
        matrix.check(&incomplete),
        Err(MatrixError::UncoveredCells { cells })
    );

    let cells = vec!["own_answer late_answer".to_owned()];
    assert_eq!(
        matrix.check(&build_exemptions(&[])),
        Err(MatrixError::NeedlessExemptions { cells })
    );
}

#[test]
fn worst_verdict_wins() {
    let matrix = FaultMatrix::from_test_output(
        "test matrix::own_answer::late_answer ... ok\n\
         test matrix::own_answer::late_answer_twice ... FAILED\n\
         test matrix::at_most_once::late_answer ... ok\n\
         test matrix::at_most_once::config_down ... ignored, takes a minute\n\
         test matrix::true_coverage::late_answer ... text of the test\n",
    );
    let report = VerdictReport {
        matrix: &matrix,
        exemptions: &[],
    };
    assert_eq!(report.count(TestVerdict::Passed), 1);
    assert_eq!(report.count(TestVerdict::NotRun), 1);
    assert_eq!(report.count(TestVerdict::Failed), 2);
    let text = report.to_string();
    assert!(
        text.contains("own_answer late_answer: failed (tests: 2)"),
        "{text}"
    );
    assert!(
        text.contains("graceful_stop config_down: no test and no reason"),
        "{text}"
    );
    assert!(text.ends_with("1 passed, 2 failed\n"), "{text}");
}

#[test]
fn bad_lines_reported() {
    for line in [
        "open own_answer late_answer",
        "never own_answer typo x",
        "maybe a b c",
    ] {
        let error = CellExemption::parse_all(&format!("# comment\n{line}")).unwrap_err();
        assert!(error.to_string().contains("exempt.txt:2"), "{error}");
    }
    assert!(MutationRecord::parse_all("own_answer name").is_err());
    let records = MutationRecord::parse_all("own_answer name a::test").unwrap();
    let error = MutationRecord::check_coverage(&records).unwrap_err();
    assert!(
        error.to_string().contains("one_snapshot, true_coverage"),
        "{error}"
    );
}
