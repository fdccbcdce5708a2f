//! Guards against a published value that makes an instance panic, or that passes the check although no request could be
//! served under it. The values are random bytes and randomly edited sheets.

use std::fs;

use anvilhub_coord::keyspace::KEY_SPACE_END;
use anvilhub_coord::sheet::CheckedSheet;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::sheets::example_path;

/// Seed of the generated inputs, which is printed so that a failure can be reproduced.
const SEED: [u8; 32] = [41; 32];

const CASE_COUNT: u32 = 2_000;

/// Returns a runner that generates the same inputs in every run.
fn create_runner() -> TestRunner {
    println!("seed {SEED:?}");
    let config = Config {
        cases: CASE_COUNT,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

/// Returns whether the shards of every service cover the key space and have slots.
fn is_usable(sheet: &CheckedSheet) -> bool {
    sheet.services.values().all(|service| {
        let keys: u64 = service.shards.iter().map(|shard| shard.range.len()).sum();
        keys == KEY_SPACE_END && service.shards.iter().all(|shard| shard.slots().get() > 0)
    })
}

#[test]
fn arbitrary_bytes_rejected() {
    let outcome = create_runner().run(&vec(any::<u8>(), 0..512), |bytes| {
        prop_assert!(CheckedSheet::from_bytes(&bytes).is_err());
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn accepted_mutations_usable() {
    let original = fs::read(example_path("minimal.json")).unwrap();
    let edits = vec((any::<prop::sample::Index>(), any::<u8>(), 0..3_u8), 1..6);
    let outcome = create_runner().run(&edits, |edits| {
        let mut bytes = original.clone();
        for (index, byte, kind) in edits {
            let position = index.index(bytes.len());
            match kind {
                0 => bytes[position] = byte,
                1 => bytes.insert(position, byte),
                _ => drop(bytes.remove(position)),
            }
        }
        match CheckedSheet::from_bytes(&bytes) {
            Ok(sheet) => prop_assert!(is_usable(&sheet)),
            Err(faults) => prop_assert!(!faults.is_empty()),
        }
        Ok(())
    });
    outcome.unwrap();
}
