//! Guards against gathering that panics, claims more coverage than was searched, or mixes requests or snapshots,
//! whatever upstreams send.

use std::collections::BTreeSet;

use anvilhub_coord::border::query::RowEntry;
use anvilhub_coord::border::upstream::SubAnswer;
use anvilhub_coord::gather::{AnswerGather, GatherLimits, MissingReason};
use anvilhub_coord::ids::{RequestId, SnapshotId};
use anvilhub_coord::keyspace::KeyRange;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::scenario::test_seed;

const REQUESTED: KeyRange = KeyRange { start: 10, end: 50 };
const MAX_ROWS: usize = 60;
const CASE_COUNT: u32 = 2_000;

/// A call to a gather. There are few ids, so that answers are often duplicated or arrive for another request.
#[derive(Clone, Debug)]
enum Event {
    Register { id: u8, range: KeyRange },
    Answer { id: u8, answer: SubAnswer },
    Fail { id: u8 },
    Pin(u64),
    TakeRepartitioned,
}

fn range() -> impl Strategy<Value = KeyRange> {
    (0..60_u64, 0..60_u64).prop_map(|(start, end)| KeyRange::new(start, end))
}

fn answer() -> impl Strategy<Value = SubAnswer> {
    let rows = prop::collection::vec(0..60_u64, 0..30);
    (0..8_u8, 1..3_u64, range(), rows).prop_map(|(id, snapshot, range, keys)| SubAnswer {
        request_id: request_id(id),
        snapshot: SnapshotId(snapshot),
        start: range.start,
        end: range.end,
        rows: (keys.into_iter())
            .map(|key| RowEntry {
                key,
                value: format!("{id}/{snapshot}"),
            })
            .collect(),
        held: Vec::new(),
        draining: false,
        in_flight: None,
    })
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..8_u8, range()).prop_map(|(id, range)| Event::Register { id, range }),
        4 => (0..8_u8, answer()).prop_map(|(id, answer)| Event::Answer { id, answer }),
        // Answers that arrive for their own id, so that enough of them are accepted.
        4 => answer().prop_map(|answer| Event::Answer { id: own_id(&answer), answer }),
        1 => (0..8_u8).prop_map(|id| Event::Fail { id }),
        1 => (1..3_u64).prop_map(Event::Pin),
        1 => Just(Event::TakeRepartitioned),
    ]
}

fn request_id(id: u8) -> RequestId {
    format!("r{id}").parse().unwrap()
}

fn own_id(answer: &SubAnswer) -> u8 {
    answer.request_id.as_str()[1..].parse().unwrap()
}

/// The keys that were searched, each with the snapshot: a gather must not claim more.
#[derive(Default)]
struct SearchedKeys {
    keys: BTreeSet<(u64, u64)>,
}

fn check_events(events: Vec<Event>) -> Result<(), TestCaseError> {
    let limits = GatherLimits {
        max_rows: MAX_ROWS,
        ..GatherLimits::default()
    };
    let mut gather = AnswerGather::new(REQUESTED, limits);
    let mut searched = SearchedKeys::default();
    for event in events {
        match event {
            Event::Register { id, range } => gather.register(request_id(id), range),
            Event::Answer { id, answer } => {
                let snapshot = answer.snapshot.get();
                let range = KeyRange::new(answer.start, answer.end);
                let is_own = own_id(&answer) == id;
                let accepted = gather.accept_answer(&request_id(id), answer).is_ok();
                prop_assert!(is_own || !accepted, "another request's answer was accepted");
                if accepted {
                    let keys = (range.start..range.end).map(|key| (snapshot, key));
                    searched.keys.extend(keys);
                }
            }
            Event::Fail { id } => gather.record_failure(&request_id(id), MissingReason::Timeout),
            Event::Pin(snapshot) => drop(gather.pin_snapshot(SnapshotId(snapshot))),
            Event::TakeRepartitioned => drop(gather.take_repartitioned()),
        }
    }
    check_answer(gather, &searched)
}

fn check_answer(gather: AnswerGather, searched: &SearchedKeys) -> Result<(), TestCaseError> {
    let answer = gather.finish();
    let snapshot = answer.snapshot.map_or(0, SnapshotId::get);
    let is_missing = |key| {
        let mut ranges = answer.coverage.missing.iter();
        ranges.any(|missing| missing.range.contains(key))
    };
    let mut covered = 0;
    for key in (REQUESTED.start..REQUESTED.end).filter(|&key| !is_missing(key)) {
        covered += 1;
        prop_assert!(
            searched.keys.contains(&(snapshot, key)),
            "key {key} was not searched"
        );
    }
    let fraction = f64::from(covered) / REQUESTED.len() as f64;
    prop_assert_eq!(answer.coverage.fraction, fraction);
    prop_assert_eq!(answer.coverage.is_complete, fraction == 1.0);
    prop_assert!(answer.rows.len() <= MAX_ROWS);
    for row in &answer.rows {
        prop_assert!(
            REQUESTED.contains(row.key) && !is_missing(row.key),
            "row {row:?}"
        );
        prop_assert!(row.value.ends_with(&format!("/{snapshot}")), "row {row:?}");
    }
    Ok(())
}

#[test]
fn coverage_is_correct() {
    let seed = test_seed();
    println!("ANVILHUB_SEED={seed}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases: CASE_COUNT,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 0..40);
    runner.run(&events, check_events).unwrap();
}
