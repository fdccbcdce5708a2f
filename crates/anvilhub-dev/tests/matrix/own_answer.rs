//! Guards against a caller that gets rows of another request.

use eyre::Result;
use serde_json::json;

use super::answer_check::{is_complete, search, search_within, start_tier, under_load};

#[test]
fn late_answer() -> Result<()> {
    let tier = start_tier(json!({}))?;
    search(&tier, 0)?;

    let mut faults = Vec::new();
    for kind in ["crossed", "doubled", "late", "crossed", "raw_junk", "junk"] {
        faults.push(json!({
            "action": "fault", "kind": kind, "delay_ms": 700, "bytes": 64
        }));
    }
    // Each answer is compared with the rows of its own query; a crossed one would differ.
    under_load(
        4,
        || search_within(&tier, 0, 500).map(drop),
        || {
            for _ in 0..4 {
                tier.upstreams
                    .send_command(json!({ "service": "stock", "do": faults.clone() }))?;
                for _ in 0..5 {
                    search_within(&tier, 1, 500)?;
                }
            }
            Ok(())
        },
    )?;
    tier.upstreams
        .send_command(json!({ "do": [{ "action": "clear_faults" }] }))?;

    let counts = tier.upstreams.request_counts()?;
    let faulty: u64 = counts.values().map(|counts| counts.faulty).sum();
    assert!(faulty > 0, "no fault happened");
    let last = (0..50).map(|_| search(&tier, 0));
    let recovered = last.flatten().any(|answer| is_complete(&answer));
    assert!(recovered, "no whole answer after the faults");
    Ok(())
}
