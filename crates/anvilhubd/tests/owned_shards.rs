//! Guards against instances that use more slots of a shard than it has because each counts its own requests only, and
//! against requests that wait for an owner that has stopped or is paused.

use serde_json::Value;

use crate::fixture::{
    FakeReply, FakeUpstream, TestEntry, answer, refusal, service, shard, wait_until,
};

/// Number of requests right after an owner is paused. Later the other instances take over its shards.
const REQUEST_COUNT: usize = 5;

/// Returns the number of shards that `entry`, called `name`, reports as its own.
fn owned_count(entry: &TestEntry, name: &str) -> usize {
    let (_, explained) = entry.get("/explain?service=stock");
    let shards = explained["shards"].as_array().cloned().unwrap_or_default();
    shards.iter().filter(|shard| shard["owner"] == name).count()
}

fn four_shards(upstreams: &[FakeUpstream; 4]) -> Value {
    let shards = (0..4).map(|index| shard(index, 4, &[&upstreams[index as usize]]));
    service(1, "owner", shards.collect())
}

fn is_complete(answer: &Value) -> bool {
    answer["coverage"]["complete"] == true
}

#[test]
fn owners_answer_batches() {
    let upstreams = [(); 4].map(|()| FakeUpstream::healthy());
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&four_shards(&upstreams));
    wait_until("the instances know each other", || {
        owned_count(&entries[0], "entry-1") + owned_count(&entries[1], "entry-2") == 4
    });

    let (_, found) = entries[0].send_query("r", "kerb", 5_000);

    assert!(is_complete(&found), "{found}");
    assert_eq!(found["rows"].as_array().map(Vec::len), Some(4));
    let sent_count = |entry: &TestEntry| entry.metric("anvilhub_sub_requests_total") as usize;
    let owned_counts = [
        owned_count(&entries[0], "entry-1"),
        owned_count(&entries[1], "entry-2"),
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
/// ranges that they report.
#[test]
fn moved_keys_are_found_by_owners() {
    let width = 1_u64 << 30;
    let kept_end = width / 2;
    let shrunk = FakeUpstream::start(move |request| {
        let mut found = answer(request, 1);
        found["end"] = kept_end.into();
        FakeReply::Json(200, found)
    });
    shrunk.set_load_report(0, kept_end, &[1]);
    let grown = FakeUpstream::healthy();
    grown.set_load_report(kept_end, 2 * width, &[1]);
    let upstreams = [
        shrunk,
        grown,
        FakeUpstream::healthy(),
        FakeUpstream::healthy(),
    ];
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&four_shards(&upstreams));
    wait_until("the instances know each other", || {
        owned_count(&entries[0], "entry-1") + owned_count(&entries[1], "entry-2") == 4
    });

    for entry in &entries {
        wait_until("the moved keys are found", || {
            is_complete(&entry.send_query("r", "kerb", 5_000).1)
        });
    }
}

/// The answers of an owner's other shards must not be lost because one of its shards is late.
#[test]
fn late_shard_is_reported_missing() {
    let mut upstreams = [(); 4].map(|()| FakeUpstream::healthy());
    upstreams[2] = FakeUpstream::start(|_| FakeReply::Silent);
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&four_shards(&upstreams));
    wait_until("the instances know each other", || {
        owned_count(&entries[0], "entry-1") + owned_count(&entries[1], "entry-2") == 4
    });

    for entry in &entries {
        let (_, found) = entry.send_query("r", "kerb", 1_000);
        assert_eq!(found["coverage"]["fraction"], 0.75, "{found}");
        assert_eq!(found["coverage"]["missing"][0]["reason"], "timeout");
    }
}

/// A request that no upstream ran may be sent again, so the owner of the shard must report that it was not run.
#[test]
fn refused_batches_are_not_run() {
    let upstreams = [(); 4].map(|()| FakeUpstream::start(|request| refusal(request, "shed", &[1])));
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&four_shards(&upstreams));
    wait_until("the instances know each other", || {
        owned_count(&entries[0], "entry-1") + owned_count(&entries[1], "entry-2") == 4
    });

    let (status, found) = entries[0].send_query("r", "kerb", 5_000);

    assert_eq!(
        (status, &found["outcome"]),
        (503, &"not_run".into()),
        "{found}"
    );
}

#[test]
fn stopped_owner_is_bypassed() {
    let upstreams = [(); 4].map(|()| FakeUpstream::healthy());
    let [entry, mut owner] = TestEntry::start_fleet(&four_shards(&upstreams));
    wait_until("the instances know each other", || {
        owned_count(&entry, "entry-1") < 4
    });
    assert!(is_complete(&entry.send_query("r", "kerb", 5_000).1));

    owner.kill();
    let (_, found) = entry.send_query("r", "kerb", 5_000);

    assert!(is_complete(&found), "{found}");
    assert!(entry.metric("anvilhub_owner_bypasses_total") >= 1.0);
}

/// The connections of a paused owner stay open, so it is detected only by the missing answers.
#[test]
fn paused_owner_is_bypassed() {
    let upstreams = [(); 4].map(|()| FakeUpstream::healthy());
    let [entry, owner] = TestEntry::start_fleet(&four_shards(&upstreams));
    wait_until("the instances know each other", || {
        owned_count(&entry, "entry-1") < 4
    });
    assert!(is_complete(&entry.send_query("r", "kerb", 5_000).1));

    owner.signal("STOP");
    let answers = [(); REQUEST_COUNT].map(|()| entry.send_query("r", "kerb", 150).1);
    let bypasses = entry.metric("anvilhub_owner_bypasses_total") as usize;
    owner.signal("CONT");

    assert!(answers.iter().any(is_complete), "{answers:?}");
    assert!(
        bypasses < REQUEST_COUNT,
        "not every request waits for the paused owner first"
    );
}
