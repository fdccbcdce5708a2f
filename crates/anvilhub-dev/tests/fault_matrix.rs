//! Guards against a fault matrix that assigns a test to the wrong cell or hides an empty cell.

use anvilhub_dev::matrix::{
    CellNote, FaultMatrix, MatrixCell, MatrixError, MutationEntry, TestVerdict, VerdictReport,
};

fn cell_name(test: &str) -> Option<String> {
    MatrixCell::of_test(test).map(|cell| cell.to_string())
}

#[test]
fn names_give_cells() {
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

/// Returns a note for every required cell except those in `tested`.
fn notes(tested: &[&str]) -> Vec<CellNote> {
    let cells = MatrixCell::required().map(|cell| cell.to_string());
    let lines = cells.filter(|cell| !tested.contains(&cell.as_str()));
    let lines: Vec<_> = lines.map(|cell| format!("open {cell} later")).collect();
    CellNote::parse_all(&lines.join("\n")).unwrap()
}

#[test]
fn empty_cells_fail() {
    let matrix = FaultMatrix::read("matrix::own_answer::late_answer: test\n");
    let covered = notes(&["own_answer late_answer"]);
    assert_eq!(matrix.check(&covered), Ok(()));

    let lacking = notes(&["own_answer late_answer", "own_answer config_down"]);
    let cells = vec!["own_answer config_down".to_owned()];
    assert_eq!(matrix.check(&lacking), Err(MatrixError::Empty { cells }));

    let cells = vec!["own_answer late_answer".to_owned()];
    assert_eq!(
        matrix.check(&notes(&[])),
        Err(MatrixError::Excused { cells })
    );
}

#[test]
fn worst_verdict_counts() {
    let matrix = FaultMatrix::read(
        "test matrix::own_answer::late_answer ... ok\n\
         test matrix::own_answer::late_answer_twice ... FAILED\n\
         test matrix::at_most_once::late_answer ... ok\n\
         test matrix::at_most_once::config_down ... ignored, takes a minute\n\
         test matrix::true_coverage::late_answer ... text of the test\n",
    );
    let report = VerdictReport {
        matrix: &matrix,
        notes: &[],
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
fn bad_lines_are_named() {
    for line in [
        "open own_answer late_answer",
        "never own_answer typo x",
        "maybe a b c",
    ] {
        let fault = CellNote::parse_all(&format!("# comment\n{line}")).unwrap_err();
        assert!(fault.to_string().contains("exempt.txt:2"), "{fault}");
    }
    assert!(MutationEntry::parse_all("own_answer name").is_err());
    let entries = MutationEntry::parse_all("own_answer name a::test").unwrap();
    let fault = MutationEntry::check_all(&entries).unwrap_err();
    assert!(
        fault.to_string().contains("one_snapshot, true_coverage"),
        "{fault}"
    );
}
