//! Guards against failed requests whose cause cannot be found by their id because `anvilhub explain` leaves out related
//! events or shows unrelated ones.

use crate::tool::run_tool;

const LOG: &str = r#"{"event":"started","time":"T1","instance":"entry-1"}
not a line of ours
{"event":"upstream rests after failures","time":"T2","service":"desk","upstream":"i-1","kind":"Unconnected"}
{"event":"upstream rests after failures","time":"T3","service":"other","upstream":"i-9","kind":"Unconnected"}
{"event":"request ended","time":"T4","request":"q-0","status":200,"upstream":"i-1","unfinished":""}
{"event":"dependency lost","time":"T5","dependency":"platform"}
{"event":"request ended","time":"T6","request":"q-1","status":504,"upstream":"","unfinished":"desk at i-1: waiting"}
"#;

/// Explains a request from the test log. Returns the exit code and the standard output.
fn explain_request(request: &str) -> (Option<i32>, String) {
    let path = std::env::temp_dir().join(format!(
        "anvilhub-explain-{}-{request}.jsonl",
        std::process::id()
    ));
    std::fs::write(&path, LOG).expect("the temporary folder is writable");
    let run = run_tool(&[
        "explain",
        "--request",
        request,
        path.to_str().expect("a plain path"),
    ]);
    std::fs::remove_file(&path).expect("the file was written");
    (run.code, run.output)
}

#[test]
fn history_names_cause() {
    let (code, history) = explain_request("q-1");
    assert_eq!(code, Some(0));
    let times: Vec<&str> = history
        .lines()
        .skip(1)
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    assert_eq!(times, ["T1", "T2", "T5", "T6"], "{history}");
    assert!(
        history.contains("unfinished=desk at i-1: waiting"),
        "{history}"
    );
}

#[test]
fn unknown_request_fails() {
    assert_eq!(explain_request("q-9").0, Some(1));
    assert_eq!(run_tool(&["explain", "--request", "q-1"]).code, Some(2));
}
