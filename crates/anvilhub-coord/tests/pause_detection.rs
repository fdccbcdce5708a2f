//! Guards against a thread that resumes after a pause of the process and uses a value that was confirmed before the
//! pause.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvilhub_coord::time::{ClockTime, FreshValue, PauseDetector, StaleError};

const PAUSE_LIMIT: Duration = Duration::from_millis(200);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

#[test]
fn check_detects_pause() {
    let detector = PauseDetector::new(PAUSE_LIMIT, at(1_000));
    assert_eq!(detector.record_heartbeat(at(1_100)), None);
    assert_eq!(detector.detect_pause(at(1_300)), None);
    assert_eq!(
        detector.detect_pause(at(5_100)),
        Some(Duration::from_secs(4))
    );
    assert_eq!(detector.resumed_at(), Some(at(5_100)));
    assert_eq!(detector.record_heartbeat(at(5_110)), None);
}

#[test]
fn heartbeat_detects_pause() {
    let detector = PauseDetector::new(PAUSE_LIMIT, at(1_000));
    assert_eq!(
        detector.record_heartbeat(at(1_201)),
        Some(Duration::from_millis(201))
    );
    assert_eq!(detector.detect_pause(at(1_202)), None);
    assert_eq!(detector.resumed_at(), Some(at(1_201)));
}

#[test]
fn pause_reported_once() {
    // Every thread sees the pause in `resumed_at`, and exactly one reports it.
    let detector = PauseDetector::new(PAUSE_LIMIT, at(1_000));
    let reports = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                if detector.detect_pause(at(9_000)).is_some() {
                    reports.fetch_add(1, Ordering::Relaxed);
                }
                assert_eq!(detector.resumed_at(), Some(at(9_000)));
            });
        }
    });
    assert_eq!(reports.into_inner(), 1);
}

#[test]
fn stale_value_rejected() {
    let mut value = FreshValue::new(7, at(1_000), Duration::from_secs(2));
    assert_eq!(value.get(at(3_000), None), Ok(&7));
    assert!(matches!(
        value.get(at(3_001), None),
        Err(StaleError::Expired { .. })
    ));
    assert_eq!(
        value.get(at(1_500), Some(at(1_400))),
        Err(StaleError::Paused)
    );
    value.confirm(at(1_400));
    assert_eq!(value.get(at(1_500), Some(at(1_400))), Ok(&7));
}
