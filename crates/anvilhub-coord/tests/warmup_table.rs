//! Guards against warm-ups that are missed, that never end because an old report is read again, or that end because of an
//! older one.

use std::time::Duration;

use anvilhub_coord::ids::{CallRate, Incarnation};
use anvilhub_coord::limit::{SendPermit, UpstreamProcess, WarmupBound, WarmupReport, WarmupTable};
use anvilhub_coord::time::ClockTime;

const BOUND: WarmupBound = WarmupBound {
    overage: 1.5,
    slack: 5.0,
};

fn at(ms: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + ms)
}

fn upstream() -> UpstreamProcess {
    UpstreamProcess {
        id: "i-1".parse().expect("an id"),
        incarnation: Incarnation(1),
    }
}

fn report(number: u64, left_ms: u64) -> WarmupReport {
    WarmupReport {
        process: upstream(),
        number,
        left: Duration::from_millis(left_ms),
        max_left: Some(Duration::from_secs(20)),
        cold_rate: Some(CallRate(8.0)),
    }
}

/// A table that knows the upstream from a report without a warm-up.
fn warm_table() -> WarmupTable {
    let mut table = WarmupTable::new(BOUND);
    table.record_reports(at(0), [report(1, 0)]);
    table
}

fn is_cold(table: &WarmupTable, ms: u64) -> bool {
    table.is_cold(at(ms), &upstream())
}

fn permit(table: &mut WarmupTable, ms: u64) -> SendPermit {
    table.permit(at(ms), &upstream(), |count| count)
}

/// The time begins when the report is seen for the first time. A full read repeats the report much later.
#[test]
fn repeated_report_ignored() {
    let mut table = warm_table();
    let changes = table.record_reports(at(0), [report(2, 5_000)]);
    assert_eq!(changes[0].left, Some(Duration::from_secs(5)));
    for ms in [1_000, 4_000, 9_000, 60_000] {
        assert!(table.record_reports(at(ms), [report(2, 5_000)]).is_empty());
    }
    assert!(is_cold(&table, 4_999));
    assert!(!is_cold(&table, 5_000));
}

/// A later report replaces the end, and one without a warm-up ends it. The end is stated once.
#[test]
fn later_report_holds() {
    let mut table = warm_table();
    table.record_reports(at(0), [report(2, 5_000)]);
    assert!(
        table
            .record_reports(at(1_000), [report(3, 9_000)])
            .is_empty()
    );
    assert!(is_cold(&table, 9_999));
    let changes = table.record_reports(at(2_000), [report(4, 0)]);
    assert_eq!(changes[0].left, None);
    assert!(!is_cold(&table, 2_000));
    assert!(table.take_ended(at(2_500)).is_empty());
}

/// A restored store brings back older reports. They end no warm-up, and do not begin one again and again.
#[test]
fn older_report_ends_nothing() {
    let mut table = warm_table();
    table.record_reports(at(0), [report(7, 5_000)]);
    table.record_reports(at(1_000), [report(5, 0)]);
    assert!(is_cold(&table, 4_999));
    assert!(!is_cold(&table, 5_000));
}

/// A restored report that states a warm-up is repeated with every change of another upstream, and moved the end out each
/// time.
#[test]
fn older_report_counted_once() {
    let mut table = warm_table();
    table.record_reports(at(0), [report(7, 0)]);
    for ms in [1_000, 2_000, 5_000, 9_000] {
        table.record_reports(at(ms), [report(5, 5_000)]);
    }
    assert!(is_cold(&table, 5_999));
    assert!(!is_cold(&table, 6_000));
}

/// A report that was written before the answer arrives after it.
#[test]
fn answer_outlasts_report() {
    let mut table = warm_table();
    table.record_answer(at(0), &upstream(), Duration::from_secs(10));
    table.record_reports(at(500), [report(2, 0)]);
    assert!(is_cold(&table, 500));
    table.record_reports(at(4_000), [report(3, 0)]);
    assert!(!is_cold(&table, 4_000));
    table.record_answer(at(5_000), &upstream(), Duration::from_secs(10));
    table.record_answer(at(5_100), &upstream(), Duration::ZERO);
    assert!(!is_cold(&table, 5_100));
}

/// Each process has a warm-up of its own. One that left the list needs no memory.
#[test]
fn other_process_unaffected() {
    let restarted = UpstreamProcess {
        incarnation: Incarnation(2),
        ..upstream()
    };
    let mut table = warm_table();
    let restarted_report = WarmupReport {
        process: restarted.clone(),
        ..report(1, 5_000)
    };
    table.record_reports(at(0), [report(1, 0), restarted_report]);
    assert!(!is_cold(&table, 1));
    assert!(table.is_cold(at(1), &restarted));
    table.record_reports(at(2), [report(1, 0)]);
    assert!(!table.is_cold(at(2), &restarted));
}

/// Without a stated rate nothing is withheld; a rate that a later configuration states holds for a running warm-up. No
/// warm-up is longer than the configuration states.
#[test]
fn configuration_followed() {
    let unbounded = WarmupReport {
        cold_rate: None,
        ..report(2, 900_000)
    };
    let mut table = WarmupTable::new(BOUND);
    table.record_reports(at(0), [unbounded]);
    assert_eq!(permit(&mut table, 10), SendPermit::Unlimited);
    table.record_reports(at(20), [report(2, 900_000)]);
    assert!(permit(&mut table, 30).is_denied());
    assert!(!is_cold(&table, 20_000));
}

/// An upstream that was cold a moment ago looks as fast as a free one to all instances at once. Its load must not rise
/// in one step.
#[test]
fn load_rises_in_steps() {
    let mut table = warm_table();
    table.record_reports(at(0), [report(2, 5_000)]);
    let mut sent = vec![0; 12];
    for ms in 0..12_000 {
        if permit(&mut table, ms) == SendPermit::Granted
            && table.try_send(at(ms), &upstream(), |count| count)
        {
            sent[ms as usize / 1_000] += 1;
        }
    }
    println!("sent by second: {sent:?}");
    assert!(sent[2..5].iter().all(|count| (7..=8).contains(count)));
    assert!(
        sent[5..9]
            .windows(2)
            .all(|pair| pair[0] < pair[1] && pair[1] <= 3 * pair[0])
    );
    assert_eq!(permit(&mut table, 9_000), SendPermit::Unlimited);
    assert_eq!(table.take_ended(at(6_000)).len(), 1);
    assert!(table.take_ended(at(6_001)).is_empty());
}

/// The number that is divided is at most half of the bound, so that two groups of instances without contact stay under it,
/// and never zero.
#[test]
fn divided_number() {
    for (rate, count) in [(0.2, 1), (4.0, 4), (8.9, 8), (20.0, 17), (100.0, 77)] {
        assert_eq!(BOUND.request_count(CallRate(rate)), count, "{rate}");
    }
}
