//! Guards against sends beyond the limit that an upstream names, and against limits that are kept after their end, are
//! forgotten too early, or come back.

use std::time::Duration;

use anvilhub_coord::ids::{CallRate, Incarnation};
use anvilhub_coord::limit::{LimitNote, LimitTable, SendPermit, StatedLimit, UpstreamProcess};
use anvilhub_coord::time::ClockTime;

const LIMIT: CallRate = CallRate(10.0);

fn upstream() -> UpstreamProcess {
    UpstreamProcess {
        id: "i-1".parse().expect("an id"),
        incarnation: Incarnation(1),
    }
}

fn at(ms: u64) -> ClockTime {
    ClockTime::default() + Duration::from_secs(100) + Duration::from_millis(ms)
}

/// A table that heard the limit at `at(0)`.
fn limited_table() -> LimitTable {
    let mut table = LimitTable::default();
    table.record_answer(at(0), &upstream(), StatedLimit::Rate(LIMIT), true);
    table
}

fn permit(table: &mut LimitTable, now: ClockTime, share: f64) -> SendPermit {
    table.permit(now, &upstream(), |_| CallRate(share))
}

/// Sends at each millisecond at which it is allowed; returns the times in milliseconds.
fn send_greedily(table: &mut LimitTable, from_ms: u64, to_ms: u64, share: f64) -> Vec<u64> {
    (from_ms..to_ms)
        .filter(|&ms| {
            let is_allowed = !permit(table, at(ms), share).is_denied();
            if is_allowed {
                table.record_send(at(ms), &upstream(), false);
            }
            // Answers keep the statement young.
            if ms % 500 == 0 {
                table.record_answer(at(ms), &upstream(), StatedLimit::Rate(LIMIT), true);
            }
            is_allowed
        })
        .collect()
}

#[test]
fn unnamed_limit_free() {
    let mut table = LimitTable::default();
    table.record_answer(at(0), &upstream(), StatedLimit::Absent, true);
    assert_eq!(permit(&mut table, at(0), 1.0), SendPermit::Unlimited);
}

/// Nothing is saved up before the limit was heard, and only half a second's worth afterwards.
#[test]
fn share_kept() {
    let mut table = limited_table();
    let sent = send_greedily(&mut table, 0, 10_000, 10.0);
    let in_window = |start: u64| {
        sent.iter()
            .filter(|&&ms| (start..start + 4_000).contains(&ms))
            .count()
    };
    assert!((0..6_000).all(|start| in_window(start) <= 46));
    assert!(sent.len() >= 95, "{}", sent.len());
    let mut saved = 0;
    while !permit(&mut table, at(14_000), 10.0).is_denied() {
        table.record_send(at(14_000), &upstream(), false);
        saved += 1;
    }
    assert_eq!(saved, 5);
}

#[test]
fn wait_told() {
    let mut table = limited_table();
    let SendPermit::Denied { wait } = permit(&mut table, at(0), 2.0) else {
        panic!("an empty share has room");
    };
    assert_eq!(wait, Duration::from_millis(500));
    let SendPermit::Denied { wait } = permit(&mut limited_table(), at(0), 0.0) else {
        panic!("an instance without a share may send");
    };
    assert_eq!(wait, Duration::from_millis(100));
}

/// A request that was not sent does not use up the limit.
#[test]
fn unsent_given_back() {
    let mut table = limited_table();
    permit(&mut table, at(0), 2.0);
    assert_eq!(permit(&mut table, at(600), 2.0), SendPermit::Granted);
    table.record_send(at(600), &upstream(), false);
    assert!(permit(&mut table, at(600), 2.0).is_denied());
    table.record_unsent(&upstream());
    assert_eq!(permit(&mut table, at(600), 2.0), SendPermit::Granted);
}

/// Only the answer to a request that ran ends a limit.
#[test]
fn limit_ended_by_answer() {
    let mut table = limited_table();
    table.record_answer(at(10), &upstream(), StatedLimit::Absent, false);
    table.record_answer(at(10), &upstream(), StatedLimit::Malformed, true);
    assert!(permit(&mut table, at(10), 1.0).is_denied());
    table.record_answer(at(20), &upstream(), StatedLimit::Absent, true);
    assert_eq!(permit(&mut table, at(20), 1.0), SendPermit::Unlimited);
}

/// The process that starts again under the same id knows nothing of the limit.
#[test]
fn restarted_upstream_free() {
    let restarted = UpstreamProcess {
        incarnation: Incarnation(2),
        ..upstream()
    };
    let permit = limited_table().permit(at(1), &restarted, |_| CallRate(0.0));
    assert_eq!(permit, SendPermit::Unlimited);
}

/// An instance that sends nothing hears of limits, and of their end, from others. Older notes do not bring a limit back.
#[test]
fn youngest_note_holds() {
    let note = |limit, age_ms| LimitNote {
        upstream: upstream(),
        limit,
        age_ms,
    };
    let mut table = LimitTable::default();
    table.record_note(at(1_000), &note(Some(LIMIT), 400));
    assert!(permit(&mut table, at(1_000), 1.0).is_denied());
    table.record_note(at(1_100), &note(None, 100));
    assert_eq!(permit(&mut table, at(1_100), 1.0), SendPermit::Unlimited);
    table.record_note(at(1_200), &note(Some(LIMIT), 300));
    assert_eq!(permit(&mut table, at(1_200), 1.0), SendPermit::Unlimited);
    let sent: Vec<_> = table.notes(at(1_300));
    assert_eq!(sent, [note(None, 300)]);
}

/// Notes with impossible limits or of long ago are ignored.
#[test]
fn unusable_notes_ignored() {
    let mut table = LimitTable::default();
    for (limit, age_ms) in [(-1.0, 0), (f64::NAN, 0), (f64::INFINITY, 0), (1.0, 60_000)] {
        let note = LimitNote {
            upstream: upstream(),
            limit: Some(CallRate(limit)),
            age_ms,
        };
        assert_eq!(table.record_note(at(0), &note), None);
    }
    assert_eq!(permit(&mut table, at(0), 1.0), SendPermit::Unlimited);
}

/// A limit of which nothing is heard is neither kept for good nor dropped at once: one request asks the upstream.
#[test]
fn silent_limit_asked() {
    let mut table = limited_table();
    assert!(permit(&mut table, at(9_000), 0.0).is_denied());
    assert_eq!(permit(&mut table, at(10_000), 0.0), SendPermit::Granted);
    table.record_send(at(10_000), &upstream(), false);
    assert!(permit(&mut table, at(10_001), 0.0).is_denied());
    table.forget_old(at(61_000));
    assert_eq!(permit(&mut table, at(61_000), 0.0), SendPermit::Unlimited);
}

/// Texts that are not a finite rate are no limit.
#[test]
fn limits_parsed() {
    assert_eq!(
        StatedLimit::parse(" 25.3 "),
        StatedLimit::Rate(CallRate(25.3))
    );
    assert_eq!(StatedLimit::parse("0"), StatedLimit::Rate(CallRate(0.0)));
    for text in ["", "-1", "NaN", "inf", "1e999", "7/s", "7, 8"] {
        assert_eq!(StatedLimit::parse(text), StatedLimit::Malformed, "{text}");
    }
}
