//! Guards against instances that use more slots of a shard than it has because each counts its own requests only, and
//! against requests that wait for an owner that has stopped or is paused.

use serde_json::Value;

use crate::fixture::{
    FakeReply, FakeUpstream, TestEntry, build_answer, build_refusal, build_shard, build_sheet,
    wait_until,
};

/// Number of requests right after an owner is paused. Later the other instances take over its shards.
const REQUEST_COUNT: usize = 5;

/// Returns the number of shards that `entry`, called `name`, reports as its own.
fn count_owned_shards(entry: &TestEntry, name: &str) -> usize {
    let (_, explained) = entry.get("/explain?service=stock");
    let shards = explained["shards"].as_array().cloned().unwrap_or_default();
    shards.iter().filter(|shard| shard["owner"] == name).count()
}

/// Builds a sheet whose service has four shards with one upstream each, which their owners query.
fn build_four_shard_sheet(upstreams: &[FakeUpstream; 4]) -> Value {
    let shards = (0..4).map(|index| build_shard(index, 4, &[&upstreams[index as usize]]));
    build_sheet(1, "owner", shards.collect())
}

fn is_complete(answer: &Value) -> bool {
    answer["coverage"]["complete"] == true
}

#[test]
fn owners_answer_batches() {
    let upstreams = [(); 4].map(|()| FakeUpstream::start_healthy());
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&build_four_shard_sheet(&upstreams));
    wait_until("the instances know each other", || {
        count_owned_shards(&entries[0], "entry-1") + count_owned_shards(&entries[1], "entry-2") == 4
    });

    let (_, answer) = entries[0].send_query("r", "kerb", 5_000);

    assert!(is_complete(&answer), "{answer}");
    assert_eq!(answer["rows"].as_array().map(Vec::len), Some(4));
    let sent_count = |entry: &TestEntry| entry.read_metric("anvilhub_sub_requests_total") as usize;
    let owned_counts = [
        count_owned_shards(&entries[0], "entry-1"),
        count_owned_shards(&entries[1], "entry-2"),
    ];
    assert_eq!(
        [sent_count(&entries[0]), sent_count(&entries[1])],
        owned_counts,
        "each instance sends to the shards that it owns"
    );
    assert!(
        owned_counts[1] > 0,
        "the test needs a shard that the other instance owns"
    );
}

/// Only the owner of a shard reads the load reports of its upstreams, so the gathering instance does not know the key
/// ranges that they report. The owners have to find the moved keys.
#[test]
fn moved_keys_found() {
    let width = 1_u64 << 30;
    let kept_end = width / 2;
    let shrunk = FakeUpstream::start(move |request| {
        let mut answer = build_answer(request, 1);
        answer["end"] = kept_end.into();
        FakeReply::Json(200, answer)
    });
    shrunk.set_load_report(0, kept_end, &[1]);
    let grown = FakeUpstream::start_healthy();
    grown.set_load_report(kept_end, 2 * width, &[1]);
    let upstreams = [
        shrunk,
        grown,
        FakeUpstream::start_healthy(),
        FakeUpstream::start_healthy(),
    ];
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&build_four_shard_sheet(&upstreams));
    wait_until("the instances know each other", || {
        count_owned_shards(&entries[0], "entry-1") + count_owned_shards(&entries[1], "entry-2") == 4
    });

    for entry in &entries {
        wait_until("the moved keys are found", || {
            is_complete(&entry.send_query("r", "kerb", 5_000).1)
        });
    }
}

/// The answers of an owner's other shards must not be lost because one of its shards is late.
#[test]
fn late_shard_reported() {
    let mut upstreams = [(); 4].map(|()| FakeUpstream::start_healthy());
    upstreams[2] = FakeUpstream::start(|_| FakeReply::Silent);
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&build_four_shard_sheet(&upstreams));
    wait_until("the instances know each other", || {
        count_owned_shards(&entries[0], "entry-1") + count_owned_shards(&entries[1], "entry-2") == 4
    });

    for entry in &entries {
        let (_, answer) = entry.send_query("r", "kerb", 1_000);
        assert_eq!(answer["coverage"]["fraction"], 0.75, "{answer}");
        assert_eq!(answer["coverage"]["missing"][0]["reason"], "timeout");
    }
}

/// A request that no upstream ran may be sent again, so the owner of the shard must report that it was not run.
#[test]
fn not_run_reported() {
    let upstreams =
        [(); 4].map(|()| FakeUpstream::start(|request| build_refusal(request, "shed", &[1])));
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&build_four_shard_sheet(&upstreams));
    wait_until("the instances know each other", || {
        count_owned_shards(&entries[0], "entry-1") + count_owned_shards(&entries[1], "entry-2") == 4
    });

    let (status, answer) = entries[0].send_query("r", "kerb", 5_000);

    assert_eq!(
        (status, &answer["outcome"]),
        (503, &"not_run".into()),
        "{answer}"
    );
}

#[test]
fn stopped_owner_bypassed() {
    let upstreams = [(); 4].map(|()| FakeUpstream::start_healthy());
    let [entry, mut owner] = TestEntry::start_fleet(&build_four_shard_sheet(&upstreams));
    wait_until("the instances know each other", || {
        count_owned_shards(&entry, "entry-1") < 4
    });
    assert!(is_complete(&entry.send_query("r", "kerb", 5_000).1));

    owner.kill();
    let (_, answer) = entry.send_query("r", "kerb", 5_000);

    assert!(is_complete(&answer), "{answer}");
    assert!(entry.read_metric("anvilhub_owner_bypasses_total") >= 1.0);
}

/// The connections of a paused owner stay open, so it is detected only by the missing answers.
#[test]
fn paused_owner_bypassed() {
    let upstreams = [(); 4].map(|()| FakeUpstream::start_healthy());
    let [entry, owner] = TestEntry::start_fleet(&build_four_shard_sheet(&upstreams));
    wait_until("the instances know each other", || {
        count_owned_shards(&entry, "entry-1") < 4
    });
    assert!(is_complete(&entry.send_query("r", "kerb", 5_000).1));

    owner.signal("STOP");
    let answers = [(); REQUEST_COUNT].map(|()| entry.send_query("r", "kerb", 150).1);
    let bypass_count = entry.read_metric("anvilhub_owner_bypasses_total") as usize;
    owner.signal("CONT");

    assert!(answers.iter().any(is_complete), "{answers:?}");
    assert!(
        bypass_count < REQUEST_COUNT,
        "not every request waits for the paused owner first"
    );
}
