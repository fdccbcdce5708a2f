//! Guards against a change of what callers observe under a fault: compares every scenario's transcript.
//!
//! Running it with `REWRITE=1` replaces the transcripts.

use crate::scenario::{EventOrder, HistoryJudge, ScenarioCase};

#[test]
fn transcripts_match() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fault_scenarios");
    datadriven::walk(directory, |file| {
        file.run(|case| {
            let case = ScenarioCase {
                directive: &case.directive,
                input: case.input.trim_end(),
            };
            case.run(HistoryJudge::default(), None, EventOrder::first())
        });
    });
}
