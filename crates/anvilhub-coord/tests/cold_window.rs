//! Guards against an instance that sends more than its share to a cold upstream within a second, by saving up, by taking
//! over shares early or by requests that were placed before.

use std::time::Duration;

use anvilhub_coord::limit::ColdWindow;
use anvilhub_coord::time::ClockTime;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + ms)
}

/// An open window with this share; it was found cold at `at(0)`.
fn window(share: u32) -> ColdWindow {
    let mut window = ColdWindow::new(at(0));
    window.set_share(at(0), share);
    window
}

fn place(window: &mut ColdWindow, ms: u64) -> bool {
    let is_free = window.wait(at(ms)) == Some(Duration::ZERO);
    if is_free {
        window.reserve(at(ms));
    }
    is_free
}

/// The upstream may just have got requests that were sent before it was known to be cold.
#[test]
fn closed_at_first() {
    let mut window = window(3);
    assert_eq!(window.wait(at(0)), Some(Duration::from_millis(1_100)));
    assert!(!window.try_send(at(1_000)));
    assert!(window.try_send(at(1_100)));
}

/// Nothing is saved up, and no second holds more than the share.
#[test]
fn share_never_exceeded() {
    let mut window = window(3);
    let sent: Vec<u64> = (0..60_000)
        .filter(|&ms| place(&mut window, ms) && window.try_send(at(ms)))
        .collect();
    let most = (0..60_000).step_by(50).map(|start| {
        let in_second = |ms: &&u64| (start..start + 1_000).contains(*ms);
        sent.iter().filter(in_second).count()
    });
    assert_eq!(most.max(), Some(3));
    assert!(sent.len() >= 3 * 52, "{}", sent.len());
}

/// A request that was placed and not sent yet takes room, until it is given up without notice.
#[test]
fn placed_requests_counted() {
    let mut window = window(2);
    assert!(place(&mut window, 2_000) && place(&mut window, 2_000));
    assert!(!place(&mut window, 2_001));
    window.release();
    assert!(place(&mut window, 2_002));
    assert!(place(&mut window, 2_600), "room is lost for good");
}

/// Requests that were placed before the upstream became cold went there all at once when connections were free.
#[test]
fn unplaced_requests_need_room() {
    let mut window = window(2);
    let sent = (0..10).filter(|_| window.try_send(at(2_000)));
    assert_eq!(sent.count(), 2);
}

/// A request that did not reach the upstream gives back its room, and only its own.
#[test]
fn missed_request_given_back() {
    let mut window = window(1);
    assert!(window.try_send(at(2_000)));
    window.retract(at(1_000));
    assert!(!window.try_send(at(2_500)));
    window.retract(at(2_000));
    window.release();
    assert_eq!(window.wait(at(2_500)), Some(Duration::ZERO));
    assert!(window.try_send(at(2_500)));
}

/// A share that another instance gives up is used only after the other's requests are a second old.
#[test]
fn raise_delayed() {
    let mut window = window(1);
    window.set_share(at(5_000), 3);
    let sent = |window: &mut ColdWindow, ms| (0..5).filter(|_| window.try_send(at(ms))).count();
    assert_eq!(sent(&mut window, 5_000), 1);
    assert_eq!(sent(&mut window, 6_100), 3);
    window.set_share(at(8_000), 0);
    assert_eq!(window.wait(at(8_000)), None);
    assert_eq!(sent(&mut window, 8_000), 0);
}
