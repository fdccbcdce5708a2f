//! Guards against upstreams that left, and that a restored platform lists again, and against live ones that are kept out
//! for good.

use anvilhub_coord::gateway::DepartedUpstreams;
use anvilhub_coord::ids::Incarnation;
use anvilhub_coord::limit::UpstreamProcess;
use anvilhub_coord::time::ClockTime;

fn process(incarnation: u64) -> UpstreamProcess {
    UpstreamProcess {
        id: "i-1".parse().expect("an id"),
        incarnation: Incarnation(incarnation),
    }
}

fn at(seconds: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + seconds * 1_000)
}

/// Upstreams that left at `at(0)`, with a restore at `at(5)`.
fn restored() -> DepartedUpstreams {
    let mut departed = DepartedUpstreams::default();
    departed.record_departure(at(0), process(7));
    departed.record_restore(at(5));
    departed
}

#[test]
fn departed_upstream_doubted() {
    assert!(restored().is_doubtful(at(6), &process(7)));
    assert!(restored().is_doubtful(at(6), &process(6)));
}

/// A record that outlives the time in which that of an ended upstream expires is kept up by a live one.
#[test]
fn listed_upstream_trusted_later() {
    assert!(!restored().is_doubtful(at(13), &process(7)));
}

/// A process that starts under the id of one that left is a new one.
#[test]
fn new_process_trusted() {
    assert!(!restored().is_doubtful(at(6), &process(8)));
}

/// Without a restore, and after it, only live upstreams write records.
#[test]
fn returning_upstream_trusted() {
    let mut departed = DepartedUpstreams::default();
    departed.record_departure(at(0), process(7));
    assert!(!departed.is_doubtful(at(1), &process(7)));
    departed.record_restore(at(5));
    departed.record_departure(at(7), process(7));
    assert!(!departed.is_doubtful(at(8), &process(7)));
}

/// An upstream that left and came back before the restore is in use, and its record is not in doubt.
#[test]
fn returned_upstream_trusted() {
    let mut departed = DepartedUpstreams::default();
    departed.record_departure(at(0), process(7));
    departed.record_return(&process(7).id);
    departed.record_restore(at(5));
    assert!(!departed.is_doubtful(at(6), &process(7)));
}
