use std::time::Duration;

use anvilhub_coord::connection::{ConnectionId, ConnectionLedger, ConnectionShare};
use anvilhub_coord::ids::{ConnectionLimit, SlotCount};
use anvilhub_coord::routing::{LatencyWindow, ReportedLoad, SlotQueue, UpstreamView};
use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;

use super::{HeapMeter, MeasuredSeries};

/// Numbers of upstreams that one instance uses, up to all replicas at the size expected in two years.
const UPSTREAM_COUNTS: [usize; 5] = [500, 2_000, 5_000, 10_000, 15_000];

/// Number of connections in the ledger of one upstream: the limit in today's sheets.
const CONNECTION_COUNT: u64 = 25;

/// Numbers of instances that share the connections of an upstream.
const INSTANCE_COUNTS: [u32; 6] = [2, 8, 16, 32, 100, 1_900];

/// Number of waiting sub-requests in the slot queue of one upstream.
const WAITING_COUNT: u64 = 16;

/// Measures the memory of an instance's state about upstreams.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamMeasurement;

impl UpstreamMeasurement {
    /// Measures the memory of the per-upstream types for several numbers of upstreams.
    pub fn run() -> Vec<MeasuredSeries> {
        vec![
            measure_memory("UpstreamView after an answer, bytes", used_view),
            measure_memory("LatencyWindow, bytes", LatencyWindow::default),
            measure_memory("SlotQueue, empty, bytes", || filled_queue(0)),
            measure_memory("SlotQueue with 16 waiting, bytes", || {
                filled_queue(WAITING_COUNT)
            }),
            measure_memory("ConnectionLedger, no connection, bytes", || {
                filled_ledger(0)
            }),
            measure_memory("ConnectionLedger with 25 connections, bytes", || {
                filled_ledger(CONNECTION_COUNT)
            }),
            compute_owner_connections(),
        ]
    }
}

/// Measures the heap bytes of a vector of values, including what the values allocate.
fn measure_memory<T>(quantity: &str, make: impl Fn() -> T) -> MeasuredSeries {
    let mut series = MeasuredSeries::new(quantity, "upstream");
    for upstream_count in UPSTREAM_COUNTS {
        let fill = || {
            let mut values = Vec::with_capacity(upstream_count);
            values.extend((0..upstream_count).map(|_| make()));
            values
        };
        let (_values, held_bytes) = HeapMeter::measure_bytes(fill);
        series.add_point(upstream_count, held_bytes);
    }
    series
}

/// Computes the connections that the owner of a shard may open to a replica. The highest rank is used, because lower
/// ranks may get one connection more.
fn compute_owner_connections() -> MeasuredSeries {
    let mut series = MeasuredSeries::new(
        "ConnectionShare: connections of an owner to a replica of 25",
        "instance",
    );
    for instance_count in INSTANCE_COUNTS {
        let share = ConnectionShare::new(instance_count);
        let count = share
            .max_owner_connections(ConnectionLimit(CONNECTION_COUNT as u32), instance_count - 1);
        series.add_point(instance_count as usize, f64::from(count));
    }
    series
}

/// Returns the view of an upstream that has answered one attempt.
fn used_view() -> UpstreamView {
    let mut view = UpstreamView::default();
    view.record_send();
    view.record_answer(
        ClockTime(10),
        Duration::from_millis(5),
        ReportedLoad::default(),
    );
    view
}

/// Returns a queue of two slots with `waiting_count` waiting sub-requests; two more occupy the slots if any waits.
fn filled_queue(waiting_count: u64) -> SlotQueue<u64> {
    let mut queue = SlotQueue::new(SlotCount(2), 256, Duration::from_millis(1));
    for item in 0..waiting_count + 2 * u64::from(waiting_count > 0) {
        let deadline = ClockTime::from_millis(100 + item);
        queue.offer(ClockTime(0), UrgencyClass::Standard, deadline, item);
    }
    queue
}

/// Returns a ledger with `connection_count` idle connections, each of which has had one answer.
fn filled_ledger(connection_count: u64) -> ConnectionLedger {
    let mut ledger = ConnectionLedger::new(connection_count as u32);
    for id in (0..connection_count).map(ConnectionId) {
        if ledger.reserve() {
            ledger.record_open(ClockTime(1), id);
            ledger.record_answer(ClockTime(2), id);
        }
    }
    ledger
}
