//! Guards against an answer that mixes rows of two index snapshots.

use anvilhub_coord::ids::SnapshotId;
use eyre::Result;
use serde_json::json;

use super::answer_check::{run_under_load, search, start_tier};

const REPLICAS: [&str; 8] = [
    "stock-1-a",
    "stock-1-b",
    "stock-2-a",
    "stock-2-b",
    "stock-3-a",
    "stock-3-b",
    "stock-4-a",
    "stock-4-b",
];

/// Replicas publish and roll back snapshots one after the other, so two shards may hold different ones meanwhile.
#[test]
fn snapshot_change() -> Result<()> {
    let tier = start_tier(json!({}))?;
    // Each answer is compared with the rows of the snapshot that it names; a mixed answer would differ.
    let apply_action = |upstream: &str, name: &str, snapshot: u64| {
        let action = json!({ "action": name, "snapshot": snapshot });
        tier.upstreams
            .send_command(json!({ "upstream": upstream, "do": [action] }))
    };
    run_under_load(
        2,
        || search(&tier, 0).map(drop),
        || {
            let steps = [
                ("publish_snapshot", 2),
                ("publish_snapshot", 3),
                ("roll_back", 2),
            ];
            for (name, snapshot) in steps {
                for replica in REPLICAS {
                    apply_action(replica, name, snapshot)?;
                    search(&tier, 1)?;
                }
            }
            Ok(())
        },
    )?;

    let mut last = search(&tier, 0)?;
    // Entry instances learn the held snapshots from answers, so they may notice the rollback after some searches.
    for _ in 0..20 {
        last = search(&tier, 0)?;
    }
    assert_eq!(last.snapshot, Some(SnapshotId(2)));
    Ok(())
}
