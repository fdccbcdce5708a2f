use std::time::Duration;

use anvilhub_coord::admission::{AdmissionGate, AdmissionSettings};
use anvilhub_coord::border::query::RowEntry;
use anvilhub_coord::border::upstream::SubAnswer;
use anvilhub_coord::gather::{
    AnswerGather, GatherLimits, ReplicaHolding, ShardHolding, SnapshotChooser,
};
use anvilhub_coord::ids::{RequestId, SlotCount, SnapshotId, UpstreamId};
use anvilhub_coord::keyspace::{KEY_SPACE_END, KeyRange};
use anvilhub_coord::routing::{
    HedgePolicy, LatencyWindow, ReplicaCandidate, ReplicaPicker, ReportedLoad, RetryBudget,
    SlotQueue, UpstreamView,
};
use anvilhub_coord::sheet::UrgencyClass;
use anvilhub_coord::time::ClockTime;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{CpuMeter, MeasuredSeries};

/// Numbers of shards of a request, from today's services to the size expected in two years.
const FANOUT_SIZES: [usize; 5] = [20, 60, 100, 150, 220];

/// Number of replicas per shard.
const REPLICAS_PER_SHARD: usize = 2;

/// Number of rows in one shard's answer.
const ROWS_PER_ANSWER: u64 = 3;

/// Measures the CPU time of the decisions of one request, by the size of its fan-out.
#[derive(Clone, Copy, Debug)]
pub struct RequestMeasurement;

impl RequestMeasurement {
    /// Measures each kind of decision for all sub-requests of a request; `seed` determines the choice of replicas.
    pub fn run(seed: u64) -> Vec<MeasuredSeries> {
        let mut rng = SmallRng::seed_from_u64(seed);
        vec![
            measure_series("AdmissionGate: try_admit and finish", |_| {
                measure_admission()
            }),
            measure_series("SnapshotChooser: build and choose", measure_snapshot_choice),
            measure_series(
                "ReplicaPicker with UpstreamView, all sub-requests",
                |shard_count| measure_replica_choice(shard_count, &mut rng),
            ),
            measure_series("RetryBudget: earn, all sub-requests", measure_retry_budget),
            measure_series(
                "HedgePolicy: delay by quantile, all sub-requests",
                measure_hedge_delay,
            ),
            measure_series(
                "SlotQueue: offer and release_slot, all sub-requests",
                measure_slot_queue,
            ),
            measure_series(
                "LatencyWindow: record, all sub-requests",
                measure_latency_record,
            ),
            measure_series(
                "AnswerGather: register, accept_answer and finish, all answers",
                measure_gather,
            ),
            measure_series(
                "sub-request and sub-answer as JSON, all answers",
                measure_json,
            ),
        ]
    }
}

/// Calls `measure` with every fan-out size; `measure` returns the CPU time of one request in microseconds.
fn measure_series(quantity: &str, mut measure: impl FnMut(usize) -> f64) -> MeasuredSeries {
    let mut series = MeasuredSeries::new(format!("{quantity}, CPU us"), "shard");
    for shard_count in FANOUT_SIZES {
        series.add_point(shard_count, measure(shard_count));
    }
    series
}

fn measure_admission() -> f64 {
    let mut gate = AdmissionGate::new(AdmissionSettings::default());
    let mut now = ClockTime(0);
    CpuMeter::micros_per_call(|| {
        now = now + Duration::from_millis(1);
        let deadline = now + Duration::from_millis(73);
        gate.try_admit(now, UrgencyClass::Urgent, deadline, 0_u64);
        gate.finish(now, Duration::from_millis(5))
    })
}

fn measure_snapshot_choice(shard_count: usize) -> f64 {
    let upstream = |shard: usize, replica: usize| -> UpstreamId {
        format!("service-7-{shard}-{replica}")
            .parse()
            .expect("the text is an identifier")
    };
    let holding = |shard: usize| ShardHolding {
        range: shard_range(shard, shard_count),
        replicas: (0..REPLICAS_PER_SHARD)
            .map(|replica| ReplicaHolding {
                upstream: upstream(shard, replica),
                held_snapshots: Some(vec![SnapshotId(1), SnapshotId(2)]),
            })
            .collect(),
    };
    let holdings: Vec<ShardHolding> = (0..shard_count).map(holding).collect();
    CpuMeter::micros_per_call(|| {
        SnapshotChooser::new(KeyRange::new(0, KEY_SPACE_END), holdings.clone()).choose()
    })
}

fn measure_replica_choice(shard_count: usize, rng: &mut SmallRng) -> f64 {
    let mut views = vec![UpstreamView::default(); shard_count * REPLICAS_PER_SHARD];
    let mut now = ClockTime(0);
    let picker = ReplicaPicker::default();
    CpuMeter::micros_per_call(|| {
        now = now + Duration::from_millis(1);
        for shard in views.chunks_mut(REPLICAS_PER_SHARD) {
            let candidates: Vec<ReplicaCandidate> = shard
                .iter()
                .map(|view| ReplicaCandidate {
                    load: view.load(now),
                    is_local: false,
                    is_excluded: false,
                    lacks_connection: false,
                })
                .collect();
            if let Ok(choice) = picker.pick(&candidates, None, rng) {
                shard[choice.index].record_send();
                let latency = Duration::from_millis(5);
                shard[choice.index].record_answer(now, latency, ReportedLoad::default());
            }
        }
    })
}

fn measure_retry_budget(shard_count: usize) -> f64 {
    let mut budget = RetryBudget::new(0.05);
    let mut now = ClockTime(0);
    CpuMeter::micros_per_call(|| {
        now = now + Duration::from_millis(1);
        (0..shard_count).for_each(|_| budget.earn(now));
    })
}

/// Returns a window with 200 latencies between 2 and 10 ms.
fn filled_window() -> LatencyWindow {
    let mut window = LatencyWindow::default();
    for sample in 0..200 {
        window.record(ClockTime(1), Duration::from_micros(2_000 + sample * 40));
    }
    window
}

fn measure_hedge_delay(shard_count: usize) -> f64 {
    let (shard, service) = (filled_window(), filled_window());
    let policy = HedgePolicy::new(0.95);
    CpuMeter::micros_per_call(|| {
        (0..shard_count)
            .filter(|_| std::hint::black_box(policy.delay(&shard, &service)).is_some())
            .count()
    })
}

/// Measures three sub-requests per shard, of which two get a slot and one waits, and returns the time for one of them.
fn measure_slot_queue(shard_count: usize) -> f64 {
    let queue = || SlotQueue::new(SlotCount(2), 256, Duration::from_millis(1));
    let mut queues: Vec<SlotQueue<u64>> = (0..shard_count).map(|_| queue()).collect();
    let mut now = ClockTime(0);
    CpuMeter::micros_per_call(|| {
        now = now + Duration::from_millis(1);
        let deadline = now + Duration::from_millis(73);
        for queue in &mut queues {
            for item in 0..3 {
                queue.offer(now, UrgencyClass::Urgent, deadline, item);
            }
            (0..3).for_each(|_| drop(queue.release_slot(now)));
        }
    }) / 3.0
}

fn measure_latency_record(shard_count: usize) -> f64 {
    let mut windows = vec![LatencyWindow::default(); shard_count];
    let mut now = ClockTime(0);
    CpuMeter::micros_per_call(|| {
        now = now + Duration::from_millis(1);
        for window in &mut windows {
            window.record(now, Duration::from_millis(5));
        }
    })
}

fn shard_range(shard: usize, shard_count: usize) -> KeyRange {
    let (shard, shard_count) = (shard as u64, shard_count as u64);
    KeyRange::new(
        KEY_SPACE_END * shard / shard_count,
        KEY_SPACE_END * (shard + 1) / shard_count,
    )
}

fn shard_answers(shard_count: usize) -> Vec<(RequestId, KeyRange, SubAnswer)> {
    let answer = |shard: usize| {
        let id: RequestId = format!("request-000001/{shard}")
            .parse()
            .expect("the text is an identifier");
        let range = shard_range(shard, shard_count);
        let row = |index: u64| RowEntry {
            key: range.start + index,
            value: format!("kerb 100x25 grey, quarry {shard}, {index} pallets"),
        };
        let answer = SubAnswer {
            request_id: id.clone(),
            snapshot: SnapshotId(2),
            start: range.start,
            end: range.end,
            rows: (0..ROWS_PER_ANSWER).map(row).collect(),
            held: vec![SnapshotId(1), SnapshotId(2)],
            draining: false,
            in_flight: Some(2),
        };
        (id, range, answer)
    };
    (0..shard_count).map(answer).collect()
}

/// Measures gathering without the time to copy the answers, which a real request receives from the network.
fn measure_gather(shard_count: usize) -> f64 {
    let answers = shard_answers(shard_count);
    let copy_micros = CpuMeter::micros_per_call(|| answers.clone());
    let total_micros = CpuMeter::micros_per_call(|| {
        let requested_range = KeyRange::new(0, KEY_SPACE_END);
        let mut gather = AnswerGather::new(requested_range, GatherLimits::default());
        gather.pin_snapshot(SnapshotId(2));
        for (id, range, _) in &answers {
            gather.register(id.clone(), *range);
        }
        for (id, _, answer) in answers.clone() {
            // The assertion below fails if an answer was rejected, because its range is then missing.
            let _ = gather.accept_answer(&id, answer);
        }
        assert!(gather.is_complete(), "the generated answers cover all keys");
        gather.finish()
    });
    total_micros - copy_micros
}

fn measure_json(shard_count: usize) -> f64 {
    let answers = shard_answers(shard_count);
    let texts: Vec<Vec<u8>> = answers
        .iter()
        .map(|(_, _, answer)| serde_json::to_vec(answer).unwrap_or_default())
        .collect();
    CpuMeter::micros_per_call(|| {
        let read = texts
            .iter()
            .filter(|text| serde_json::from_slice::<SubAnswer>(text).is_ok())
            .count();
        let written: usize = answers
            .iter()
            .map(|(id, range, _)| {
                let request = serde_json::json!({
                    "request_id": id, "service": "stock", "start": range.start, "end": range.end,
                    "snapshot": 2, "deadline_ms": 60, "idempotent": true, "query": "kerb 100x25 grey"
                });
                request.to_string().len()
            })
            .sum();
        (read, written)
    })
}
