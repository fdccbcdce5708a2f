//! Guards against unnoticed changes of what callers observe under a fault, by comparing the transcript of each scenario
//! with the recorded one.
//!
//! `REWRITE=1` records the transcripts again.

use crate::scenario::{EventOrder, HistoryChecker, ScenarioCase};

#[test]
fn transcripts_match() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fault_scenarios");
    datadriven::walk(directory, |file| {
        file.run(|case| {
            let case = ScenarioCase {
                directive: &case.directive,
                input: case.input.trim_end(),
            };
            case.run(HistoryChecker::default(), None, EventOrder::in_order())
        });
    });
}
