use std::time::Duration;

use anvilhub_coord::connection::{ConnectionId, ConnectionLedger, ConnectionShare};
use anvilhub_coord::ids::{ConnectionLimit, SlotCount};
use anvilhub_coord::routing::{LatencyWindow, LoadReport, SlotQueue, UpstreamView};
use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;

use super::{HeapMeter, MeasuredSeries};

/// Upstreams of one instance: from a share of the shards to all replicas of the size in two years.
const UPSTREAMS: [usize; 5] = [500, 2_000, 5_000, 10_000, 15_000];

/// Connections that the ledger of one upstream holds here: the limit of an upstream of the present sheets.
const CONNECTIONS: u64 = 25;

/// Instances that share the connections of an upstream.
const INSTANCES: [u32; 6] = [2, 8, 16, 32, 100, 1_900];

/// Waiting sub-requests that the slot queue of one upstream holds here.
const WAITING: u64 = 16;

/// Memory of what an instance knows about upstreams.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamMeasure;

impl UpstreamMeasure {
    /// Measures the memory of the decision types for several numbers of upstreams.
    pub fn run() -> Vec<MeasuredSeries> {
        vec![
            memory("UpstreamView after an answer, bytes", view),
            memory("LatencyWindow, bytes", LatencyWindow::default),
            memory("SlotQueue, empty, bytes", || queue(0)),
            memory("SlotQueue with 16 waiting, bytes", || queue(WAITING)),
            memory("ConnectionLedger, no connection, bytes", || ledger(0)),
            memory("ConnectionLedger with 25 connections, bytes", || {
                ledger(CONNECTIONS)
            }),
            owner_connections(),
        ]
    }
}

/// Bytes of a vector of values, which includes the values themselves and what they allocate.
fn memory<T>(quantity: &str, make: impl Fn() -> T) -> MeasuredSeries {
    let mut series = MeasuredSeries::new(quantity, "upstream");
    for upstreams in UPSTREAMS {
        let fill = || {
            let mut values = Vec::with_capacity(upstreams);
            values.extend((0..upstreams).map(|_| make()));
            values
        };
        let (_values, held) = HeapMeter::bytes_of(fill);
        series.add(upstreams, held);
    }
    series
}

/// What the owner of a shard may open to a replica. The last rank is taken: some of the first ones get one more.
fn owner_connections() -> MeasuredSeries {
    let mut series = MeasuredSeries::new(
        "ConnectionShare: connections of an owner to a replica of 25",
        "instance",
    );
    for entries in INSTANCES {
        let share = ConnectionShare::new(entries);
        let count = share.owner_connections(ConnectionLimit(CONNECTIONS as u32), entries - 1);
        series.add(entries as usize, f64::from(count));
    }
    series
}

fn view() -> UpstreamView {
    let mut view = UpstreamView::default();
    view.record_send();
    view.record_answer(
        ClockTime(10),
        Duration::from_millis(5),
        LoadReport::default(),
    );
    view
}

fn queue(waiting: u64) -> SlotQueue<u64> {
    let mut queue = SlotQueue::new(SlotCount(2), 256, Duration::from_millis(1));
    for item in 0..waiting + 2 * u64::from(waiting > 0) {
        let deadline = ClockTime::from_millis(100 + item);
        queue.offer(ClockTime(0), UrgencyClass::Standard, deadline, item);
    }
    queue
}

fn ledger(connections: u64) -> ConnectionLedger {
    let mut ledger = ConnectionLedger::new(connections as u32);
    for id in (0..connections).map(ConnectionId) {
        if ledger.reserve() {
            ledger.record_open(ClockTime(1), id);
            ledger.record_answer(ClockTime(2), id);
        }
    }
    ledger
}
