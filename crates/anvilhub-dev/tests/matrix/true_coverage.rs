//! Guards against an answer that claims keys that were not searched or does not list the missing keys.

use eyre::Result;
use serde_json::json;

use super::answer_check::{is_complete, search, search_with_deadline, start_tier};

/// All replicas of a shard are killed. The answer must list the range of that shard as missing.
#[test]
fn replica_lost() -> Result<()> {
    let tier = start_tier(json!({}))?;
    let complete = search(&tier, 0)?;
    assert!(is_complete(&complete), "{complete:?}");

    tier.upstreams
        .send_command(json!({ "shard": "stock-2", "do": [{ "action": "kill" }] }))?;
    let partial = search(&tier, 0)?;

    let coverage = partial.coverage.expect("a partial answer has coverage");
    let missing: Vec<_> = coverage
        .missing
        .iter()
        .map(|range| (range.start, range.end))
        .collect();
    assert_eq!(missing, [(1 << 30, 1 << 31)]);
    Ok(())
}

/// Two shards change their ranges one after the other, so for a while no shard holds the keys that move.
#[test]
fn repartition() -> Result<()> {
    let tier = start_tier(json!({}))?;
    search(&tier, 0)?;

    // The replicas of the second shard give the lower half of its range to those of the first.
    let moved_end = 3u64 << 29;
    for (shard, start, end) in [
        ("stock-2", moved_end, 1u64 << 31),
        ("stock-1", 0, moved_end),
    ] {
        tier.upstreams
            .send_command(json!({ "shard": shard, "set": { "start": start, "end": end } }))?;
        for entry in [0, 1] {
            search_with_deadline(&tier, entry, 2_000)?;
        }
    }
    Ok(())
}

/// Sub-requests are lost on silent connections. The tier must then use new connections.
#[test]
fn silent_connection() -> Result<()> {
    let tier = start_tier(json!({}))?;
    for _ in 0..4 {
        search(&tier, 0)?;
    }
    tier.upstreams.send_command(json!({
        "service": "stock", "do": [{ "action": "silence_existing" }]
    }))?;

    let mut complete_count = 0;
    for _ in 0..10 {
        complete_count += usize::from(is_complete(&search_with_deadline(&tier, 0, 1_000)?));
    }

    let silenced: u64 = tier
        .upstreams
        .request_counts()?
        .values()
        .map(|counts| counts.silenced)
        .sum();
    assert!(
        silenced > 0,
        "no sub-request was sent on a silent connection"
    );
    assert!(
        complete_count > 0,
        "new connections work, but none was used"
    );
    Ok(())
}
