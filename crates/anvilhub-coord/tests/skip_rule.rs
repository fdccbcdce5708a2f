//! Which shards a gathered request leaves out when their queues are longer than callers wait.

use std::time::Duration;

use anvilhub_coord::gateway::SkipRule;

const RULE: SkipRule = SkipRule {
    time_left: Duration::from_millis(100),
    most_skips: 2,
};

fn plan(expected: &[u64]) -> Vec<usize> {
    let expected: Vec<Duration> = expected
        .iter()
        .map(|ms| Duration::from_millis(*ms))
        .collect();
    RULE.plan(&expected)
}

#[test]
fn punctual_shards_stay() {
    assert!(plan(&[10, 100, 20]).is_empty());
}

#[test]
fn latest_shards_go_first() {
    assert_eq!(plan(&[10, 150, 400, 20, 300]), [2, 4]);
}
