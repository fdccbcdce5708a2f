//! Guards against sub-requests to shards whose queues are longer than callers wait, which lengthen them further, and
//! against skipping more shards than the answer can do without.

use std::time::Duration;

use anvilhub_coord::gateway::SkipRule;

const RULE: SkipRule = SkipRule {
    max_expected_time: Duration::from_millis(100),
    max_skips: 2,
};

fn choose(expected_ms: &[u64]) -> Vec<usize> {
    let expected_times: Vec<Duration> = expected_ms
        .iter()
        .map(|ms| Duration::from_millis(*ms))
        .collect();
    RULE.choose(&expected_times)
}

#[test]
fn punctual_shards_kept() {
    assert!(choose(&[10, 100, 20]).is_empty());
}

#[test]
fn slowest_shards_skipped() {
    assert_eq!(choose(&[10, 150, 400, 20, 300]), [2, 4]);
}
