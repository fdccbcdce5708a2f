//! Guards against an answer with rows of another request.

use eyre::Result;
use serde_json::json;

use super::answer_check::{is_complete, run_under_load, search, search_with_deadline, start_tier};

/// Upstreams answer late, twice, with the previous answer or with junk. No caller may get rows of another query.
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
    // Each answer is compared with the rows of its own query; a crossed answer would differ.
    run_under_load(
        4,
        || search_with_deadline(&tier, 0, 500).map(drop),
        || {
            for _ in 0..4 {
                tier.upstreams
                    .send_command(json!({ "service": "stock", "do": faults.clone() }))?;
                for _ in 0..5 {
                    search_with_deadline(&tier, 1, 500)?;
                }
            }
            Ok(())
        },
    )?;
    tier.upstreams
        .send_command(json!({ "do": [{ "action": "clear_faults" }] }))?;

    let counts = tier.upstreams.request_counts()?;
    let faulty: u64 = counts.values().map(|counts| counts.faulty).sum();
    assert!(faulty > 0, "no fault was injected");
    let answers = (0..50).map(|_| search(&tier, 0));
    let has_recovered = answers.flatten().any(|answer| is_complete(&answer));
    assert!(has_recovered, "no complete answer after the faults");
    Ok(())
}
