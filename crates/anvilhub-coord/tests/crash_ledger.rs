//! Guards against requests that crash upstreams without end, and against sound ones that are refused because upstreams
//! crashed beside them.

use std::time::Duration;

use anvilhub_coord::crash::{CrashChange, CrashEvidence, CrashLedger, CrashVerdict};
use anvilhub_coord::ids::{CrashId, RequestFingerprint};
use anvilhub_coord::time::ClockTime;

fn at(ms: u64) -> ClockTime {
    ClockTime::default() + Duration::from_secs(100) + Duration::from_millis(ms)
}

fn request(path: &str) -> RequestFingerprint {
    RequestFingerprint::compute([path.as_bytes()])
}

fn crash(id: u64, sent_ms: u64, crashed_ms: u64) -> CrashEvidence {
    CrashEvidence {
        id: CrashId(id),
        sent_at: at(sent_ms),
        crashed_at: at(crashed_ms),
    }
}

/// Records a crash at the time at which it is noticed.
fn record(ledger: &mut CrashLedger, crash: CrashEvidence) -> Option<CrashChange> {
    ledger.record_crash(crash.crashed_at, request("/x"), crash)
}

/// A ledger that blames `/x` from `at(250)` on.
fn blaming_ledger() -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for (id, ms) in [(1, 0), (2, 100), (3, 200)] {
        record(&mut ledger, crash(id, ms, ms + 50));
    }
    ledger
}

fn is_blamed(ledger: &CrashLedger, now: ClockTime) -> bool {
    ledger.verdict(now, &request("/x")).is_blamed()
}

#[test]
fn third_crash_blames() {
    let mut ledger = CrashLedger::default();
    assert_eq!(record(&mut ledger, crash(1, 0, 50)), None);
    assert_eq!(
        ledger.verdict(at(60), &request("/x")),
        CrashVerdict::Suspected
    );
    assert_eq!(record(&mut ledger, crash(2, 100, 150)), None);
    let change = record(&mut ledger, crash(3, 200, 250));
    assert_eq!(change, Some(CrashChange::Blamed));
    assert!(is_blamed(&ledger, at(300)));
    assert_eq!(
        ledger.verdict(at(300), &request("/y")),
        CrashVerdict::Unsuspected
    );
}

/// Upstreams that end together, as with a failure domain, take every attempt that was at one of them.
#[test]
fn overlapping_crashes_count_once() {
    let mut ledger = CrashLedger::default();
    for id in 0..20 {
        record(&mut ledger, crash(id, id, 50 + id));
    }
    assert_eq!(
        ledger.verdict(at(100), &request("/x")),
        CrashVerdict::Suspected
    );
}

/// Upstreams crash again and again while all requests are the same; each crash is followed by a completion.
#[test]
fn completion_clears() {
    let mut ledger = CrashLedger::default();
    for id in 0..20 {
        let ms = id * 100;
        record(&mut ledger, crash(id, ms, ms + 50));
        ledger.record_completion(at(ms + 60), request("/x"));
        assert_eq!(
            ledger.verdict(at(ms + 60), &request("/x")),
            CrashVerdict::Unsuspected
        );
    }
}

#[test]
fn blame_is_passed_on() {
    let blaming = blaming_ledger();
    let mut hearing = CrashLedger::default();
    let notes = blaming.notes(at(300));
    assert_eq!(
        hearing.record_note(at(310), &notes[0]),
        Some(CrashChange::Blamed)
    );
    assert_eq!(hearing.record_note(at(320), &notes[0]), None, "heard twice");
    let late = blaming.notes(at(60_000));
    let mut starting = CrashLedger::default();
    let now = ClockTime::default() + Duration::from_millis(20);
    assert_eq!(
        starting.record_note(now, &late[0]),
        Some(CrashChange::Blamed),
        "by an instance that started after the crashes"
    );
}

/// Each of three instances has seen one crash.
#[test]
fn crashes_add_up() {
    let mut ledgers = [(); 3].map(|()| CrashLedger::default());
    for (index, ledger) in ledgers.iter_mut().enumerate() {
        let ms = index as u64 * 300;
        record(ledger, crash(index as u64, ms, ms + 50));
    }
    let [mut first, second, third] = ledgers;
    first.record_note(at(900), &second.notes(at(900))[0]);
    let change = first.record_note(at(900), &third.notes(at(900))[0]);
    assert_eq!(change, Some(CrashChange::Blamed));
}

/// What one observation says of a crash counts once, by however many ways it arrives.
#[test]
fn one_crash_counts_once() {
    let mut first = CrashLedger::default();
    record(&mut first, crash(1, 0, 50));
    let mut second = CrashLedger::default();
    for ms in [100, 200, 300, 400] {
        second.record_note(at(ms), &first.notes(at(ms))[0]);
        first.record_note(at(ms), &second.notes(at(ms))[0]);
    }
    assert_eq!(first.crash_count(&request("/x")), 1);
    assert_eq!(second.crash_count(&request("/x")), 1);
}

/// Three instances lose an attempt of the same sound request at the same time as a fourth serves it.
#[test]
fn own_completion_outweighs_notes() {
    let mut serving = CrashLedger::default();
    serving.record_completion(at(400), request("/x"));
    let blaming = blaming_ledger();
    assert_eq!(
        serving.record_note(at(410), &blaming.notes(at(410))[0]),
        None
    );
    let mut blaming = blaming;
    let change = blaming.record_note(at(420), &serving.notes(at(420))[0]);
    assert_eq!(change, Some(CrashChange::Cleared));
}

/// A belief ends ten minutes after the last crash; the next crash renews it at once.
#[test]
fn blame_ends() {
    let mut ledger = blaming_ledger();
    assert!(is_blamed(&ledger, at(599_000)));
    assert_eq!(
        ledger.verdict(at(601_000), &request("/x")),
        CrashVerdict::Unsuspected
    );
    record(&mut ledger, crash(4, 601_000, 601_050));
    assert!(is_blamed(&ledger, at(601_100)));
}

/// A caller that sends many different crashing requests takes a bounded amount of memory, and does not displace what is
/// blamed.
#[test]
fn memory_bounded() {
    let mut ledger = blaming_ledger();
    for index in 0..5_000_u64 {
        let fingerprint = request(&format!("/{index}"));
        ledger.record_crash(at(300 + index), fingerprint, crash(index, 250, 300));
    }
    assert!(is_blamed(&ledger, at(6_000)));
    assert!(ledger.notes(at(6_000)).len() <= 64);
}

#[test]
fn parts_distinguished() {
    let fingerprint =
        |parts: &[&str]| RequestFingerprint::compute(parts.iter().map(|part| part.as_bytes()));
    assert_ne!(fingerprint(&["ab", "c"]), fingerprint(&["a", "bc"]));
    let text = fingerprint(&["ab"]).to_string();
    assert_eq!(text.parse(), Ok(fingerprint(&["ab"])));
    assert!(text[1..].parse::<RequestFingerprint>().is_err());
}
