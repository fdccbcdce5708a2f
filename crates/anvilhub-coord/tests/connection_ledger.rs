//! Guards against requests that are lost on connections whose state a device on the network path has dropped.

use std::time::Duration;

use anvilhub_coord::connection::{ConnectionId, ConnectionLedger, ConnectionPlan, ConnectionState};
use anvilhub_coord::sheet::RepeatPolicy::{Idempotent, NonIdempotent};
use anvilhub_coord::time::ClockTime;

const SILENCE_LIMIT: Duration = Duration::from_millis(100);
const MAX_CONNECTIONS: u32 = 6;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Creates a ledger with the maximum number of connections, all idle since `now`.
fn create_idle_ledger(now: ClockTime) -> ConnectionLedger {
    let mut ledger = ConnectionLedger::new(MAX_CONNECTIONS);
    for id in 0..u64::from(MAX_CONNECTIONS) {
        assert_eq!(ledger.acquire(now, Idempotent), ConnectionPlan::Open);
        ledger.record_open(now, ConnectionId(id));
    }
    for id in 0..u64::from(MAX_CONNECTIONS) {
        ledger.record_answer(now, ConnectionId(id));
    }
    ledger
}

#[test]
fn mass_silence_bounded() {
    // All connections become silent while they are idle. Requests then arrive every 10 ms.
    let mut ledger = create_idle_ledger(at(0));
    let mut next_id = 100;
    let mut affected = 0;
    for millis in (5_000..15_000).step_by(10) {
        let now = at(millis);
        for closed in ledger.check_silence(now, SILENCE_LIMIT).silent {
            assert!(closed.0 < 100, "a working connection was closed");
        }
        match ledger.acquire(now, Idempotent) {
            ConnectionPlan::Use(ConnectionId(id)) if id < 100 => affected += 1,
            ConnectionPlan::Use(id) => ledger.record_answer(now, id),
            ConnectionPlan::Probe(_) | ConnectionPlan::Wait => {}
            ConnectionPlan::Open | ConnectionPlan::Replace(_) => {
                next_id += 1;
                ledger.record_open(now, ConnectionId(next_id));
                ledger.record_answer(now, ConnectionId(next_id));
            }
        }
    }

    assert_eq!(
        affected, 1,
        "only one unproven connection may carry a request at a time"
    );
    assert!(next_id > 100, "no working connection was opened");
}

#[test]
fn idle_becomes_suspect() {
    let mut ledger = create_idle_ledger(at(0));
    let ConnectionPlan::Use(silent) = ledger.acquire(at(10), Idempotent) else {
        panic!("the idle connection was not used");
    };
    let ConnectionPlan::Use(alive) = ledger.acquire(at(10), Idempotent) else {
        panic!("the idle connection was not used");
    };
    ledger.record_answer(at(50), alive);

    let report = ledger.check_silence(at(120), SILENCE_LIMIT);

    assert_eq!(report.silent, [silent]);
    assert_eq!(report.suspect.len(), MAX_CONNECTIONS as usize - 2);
    assert_eq!(ledger.state(alive), Some(ConnectionState::Idle));
    assert_eq!(
        ledger.acquire(at(130), Idempotent),
        ConnectionPlan::Use(alive)
    );
}

#[test]
fn suspect_probed_first() {
    let mut ledger = create_idle_ledger(at(0));
    ledger.mark_all_suspect();
    let ConnectionPlan::Probe(probed) = ledger.acquire(at(10), Idempotent) else {
        panic!("the suspect connection was not probed");
    };
    ledger.record_answer(at(12), probed);

    assert_eq!(
        ledger.acquire(at(13), Idempotent),
        ConnectionPlan::Use(probed)
    );
}

#[test]
fn unproven_connection_replaced() {
    let mut ledger = create_idle_ledger(at(0));
    assert!(matches!(
        ledger.acquire(at(500), NonIdempotent),
        ConnectionPlan::Use(_)
    ));

    let plan = ledger.acquire(at(5_000), NonIdempotent);
    assert!(matches!(plan, ConnectionPlan::Replace(_)), "{plan:?}");
    ledger.record_open(at(5_006), ConnectionId(100));
    ledger.mark_all_suspect();
    let plan = ledger.acquire(at(5_010), NonIdempotent);
    assert!(matches!(plan, ConnectionPlan::Replace(_)), "{plan:?}");
}

#[test]
fn slow_connections_kept() {
    let mut ledger = ConnectionLedger::new(MAX_CONNECTIONS);
    for id in 0..3 {
        ledger.acquire(at(0), Idempotent);
        ledger.record_open(at(0), ConnectionId(id));
    }
    let report = ledger.check_silence(at(500), SILENCE_LIMIT);
    assert!(report.is_upstream_suspect);
    assert!(
        report.silent.is_empty(),
        "no other connection showed that these are silent"
    );

    // A new connection opens, which shows that the others are silent.
    assert_eq!(ledger.acquire(at(501), Idempotent), ConnectionPlan::Open);
    ledger.record_open(at(502), ConnectionId(9));
    assert_eq!(ledger.check_silence(at(503), SILENCE_LIMIT).silent.len(), 3);
}

#[test]
fn connections_not_shared() {
    let mut ledger = create_idle_ledger(at(0));
    let mut used = Vec::new();
    while let ConnectionPlan::Use(id) = ledger.acquire(at(1), Idempotent) {
        assert!(!used.contains(&id), "{id} carries two requests");
        used.push(id);
    }

    assert_eq!(used.len(), MAX_CONNECTIONS as usize);
    assert!(ledger.is_full());
    assert_eq!(ledger.acquire(at(1), Idempotent), ConnectionPlan::Wait);
}

#[test]
fn excess_idle_closed() {
    let mut ledger = create_idle_ledger(at(0));
    ledger.acquire(at(1), Idempotent);

    assert_eq!(ledger.set_max_connections(2).len(), 4);
    assert_eq!(ledger.connection_count(), 2);
}

/// Guards against an unknown outcome of a slow non-idempotent request: its connection is closed as silent although the
/// upstream is still working on the request.
#[test]
fn exempt_connection_kept() {
    let mut ledger = ConnectionLedger::new(4);
    let start = ClockTime::from_millis(10_000);
    for id in [1, 2] {
        assert_eq!(ledger.acquire(start, NonIdempotent), ConnectionPlan::Open);
        ledger.record_open(start, ConnectionId(id));
    }
    ledger.exempt_from_silence_check(ConnectionId(1));
    let late = ClockTime::from_millis(15_000);
    assert!(ledger.reserve());
    ledger.record_open(late, ConnectionId(3));

    let report = ledger.check_silence(late, Duration::from_secs(1));

    assert_eq!(report.silent, [ConnectionId(2)]);
}
