use std::time::Duration;

use anvilhub_coord::connection::{ConnectionId, ConnectionLedger, ConnectionShare};
use anvilhub_coord::ids::{ConnectionLimit, SlotCount};
use anvilhub_coord::routing::{LatencyWindow, LoadReport, SlotQueue, UpstreamView};
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

/// Memory of an instance's state about upstreams.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamMeasurement;

impl UpstreamMeasurement {
    /// Measures the memory of the per-upstream types for several numbers of upstreams.
    pub fn run() -> Vec<MeasuredSeries> {
        vec![
            memory_series("UpstreamView after an answer, bytes", used_view),
            memory_series("LatencyWindow, bytes", LatencyWindow::default),
            memory_series("SlotQueue, empty, bytes", || filled_queue(0)),
            memory_series("SlotQueue with 16 waiting, bytes", || {
                filled_queue(WAITING_COUNT)
            }),
            memory_series("ConnectionLedger, no connection, bytes", || {
                filled_ledger(0)
            }),
            memory_series("ConnectionLedger with 25 connections, bytes", || {
                filled_ledger(CONNECTION_COUNT)
            }),
            owner_connection_series(),
        ]
    }
}

/// Measures the heap bytes of a vector of values, including what the values allocate.
fn memory_series<T>(quantity: &str, make: impl Fn() -> T) -> MeasuredSeries {
    let mut series = MeasuredSeries::new(quantity, "upstream");
    for upstreams in UPSTREAM_COUNTS {
        let fill = || {
            let mut values = Vec::with_capacity(upstreams);
            values.extend((0..upstreams).map(|_| make()));
            values
        };
        let (_values, held_bytes) = HeapMeter::measure_bytes(fill);
        series.add_point(upstreams, held_bytes);
    }
    series
}

/// Computes the connections that the owner of a shard may open to a replica. The highest rank is used, because lower
/// ranks may get one connection more.
fn owner_connection_series() -> MeasuredSeries {
    let mut series = MeasuredSeries::new(
        "ConnectionShare: connections of an owner to a replica of 25",
        "instance",
    );
    for instances in INSTANCE_COUNTS {
        let share = ConnectionShare::new(instances);
        let count =
            share.owner_connections(ConnectionLimit(CONNECTION_COUNT as u32), instances - 1);
        series.add_point(instances as usize, f64::from(count));
    }
    series
}

fn used_view() -> UpstreamView {
    let mut view = UpstreamView::default();
    view.record_send();
    view.record_answer(
        ClockTime(10),
        Duration::from_millis(5),
        LoadReport::default(),
    );
    view
}

fn filled_queue(waiting: u64) -> SlotQueue<u64> {
    let mut queue = SlotQueue::new(SlotCount(2), 256, Duration::from_millis(1));
    for item in 0..waiting + 2 * u64::from(waiting > 0) {
        let deadline = ClockTime::from_millis(100 + item);
        queue.offer(ClockTime(0), UrgencyClass::Standard, deadline, item);
    }
    queue
}

fn filled_ledger(connections: u64) -> ConnectionLedger {
    let mut ledger = ConnectionLedger::new(connections as u32);
    for id in (0..connections).map(ConnectionId) {
        if ledger.reserve() {
            ledger.record_open(ClockTime(1), id);
            ledger.record_answer(ClockTime(2), id);
        }
    }
    ledger
}
