//! Guards against load reports that steer choices, and ejections without an end.

use std::time::Duration;

use anvilhub_coord::routing::{LeavingSignal, LoadReport, UpstreamView};
use anvilhub_coord::time::ClockTime;

const NOW: ClockTime = ClockTime(10_000_000);

fn answered(latency_ms: u64) -> UpstreamView {
    let mut view = UpstreamView::default();
    for _ in 0..100 {
        view.sent();
        let load = LoadReport::default();
        view.answered(NOW, Duration::from_millis(latency_ms), load);
    }
    view
}

fn report(in_flight: u32, age_ms: u64) -> LoadReport {
    LoadReport {
        in_flight,
        age: Duration::from_millis(age_ms),
        draining: false,
    }
}

#[test]
fn false_report_bounded() {
    let mut maligned = answered(4);
    maligned.reported(NOW, report(1_000_000, 0));
    let slow = answered(40);

    assert!(
        maligned.load(NOW).expected < slow.load(NOW).expected,
        "a false report outweighs own evidence"
    );
}

#[test]
fn old_report_ignored() {
    let mut view = answered(4);
    let before = view.load(NOW).expected;
    view.reported(NOW, report(50, 500));
    assert_eq!(view.load(NOW).expected, before);

    view.reported(NOW, report(3, 0));
    assert!(view.load(NOW).expected > before);
    let later = NOW + Duration::from_millis(200);
    assert_eq!(view.load(later).expected, before);
}

#[test]
fn cancelled_wait_counts() {
    let mut view = answered(4);
    for _ in 0..50 {
        view.sent();
        view.cancelled(Duration::from_millis(60));
    }
    assert!(view.latency() > Some(Duration::from_millis(40)));

    let mut fast = answered(40);
    fast.sent();
    fast.cancelled(Duration::from_millis(1));
    assert_eq!(fast.latency(), Some(Duration::from_millis(40)));
}

#[test]
fn ejections_end_and_lengthen() {
    let mut view = answered(4);
    let first = view.eject(NOW);
    assert!(view.is_ejected(NOW) && !view.is_ejected(first));
    assert!(view.is_on_trial(first));
    let second = view.eject(first);
    assert!(second.since(first) > first.since(NOW));

    for _ in 0..3 {
        view.sent();
        assert!(view.load(second).ejected, "one attempt at a time on trial");
        view.answered(second, Duration::from_millis(4), LoadReport::default());
    }
    assert!(!view.is_on_trial(second));
}

#[test]
fn new_process_may_be_used() {
    let mut view = answered(4);
    view.mark_leaving(LeavingSignal::List);
    view.sent();
    view.replaced();

    assert_eq!(view.leaving(), None);
    assert_eq!(view.in_flight(), 1);
}
