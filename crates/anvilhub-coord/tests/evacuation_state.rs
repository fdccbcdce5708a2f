//! Guards against untrue advice to callers that need an evacuated failure domain.

use std::time::Duration;

use anvilhub_coord::gateway::EvacuationState;
use anvilhub_coord::time::ClockTime;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + millis)
}

/// A caller that returns whenever it is told to would otherwise be refused many times during a long order, or wait long
/// after a short one.
#[test]
fn returns_bounded() {
    for order_ms in [0, 300, 4_000, 60_000, 600_000] {
        let mut state = EvacuationState::default();
        assert!(state.set_evacuated(at(0), true));
        let (mut now, mut refusals) = (at(0), 0);
        while now < at(order_ms) {
            refusals += 1;
            now = now + state.expected_wait(now);
        }
        let late = now.since(at(order_ms));
        assert!(
            late <= Duration::from_millis(order_ms.clamp(1_000, 30_000)),
            "{order_ms} ms: {late:?} late"
        );
        assert!(
            refusals <= 7 + order_ms / 30_000,
            "{order_ms} ms: {refusals}"
        );
    }
}

/// An order that was issued twice would otherwise count as new, and one that was revoked as old.
#[test]
fn repeated_order_goes_on() {
    let mut state = EvacuationState::default();
    assert!(state.set_evacuated(at(0), true));
    assert!(!state.set_evacuated(at(5_000), true));
    assert_eq!(state.expected_wait(at(8_000)), Duration::from_secs(8));
    assert!(state.set_evacuated(at(9_000), false));
    assert!(!state.is_evacuated());
    assert_eq!(state.expected_wait(at(9_000)), Duration::ZERO);
    assert!(state.set_evacuated(at(9_500), true));
    assert_eq!(state.age(at(9_700)), Some(Duration::from_millis(200)));
}
