//! Guards against instances that share a shard's slots without counting them together, and against requests that
//! wait for an owner which is gone.

use serde_json::Value;

use crate::fixture::{
    FakeReply, FakeUpstream, TestEntry, answer, eventually, refusal, service, shard,
};

/// Requests right after an owner stops. Later on the other instances take over its shards.
const REQUESTS: usize = 5;

/// Number of shards that `entry`, called `name`, owns by its own account.
fn owned(entry: &TestEntry, name: &str) -> usize {
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
    let upstreams = [(); 4].map(|()| FakeUpstream::sound());
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&four_shards(&upstreams));
    eventually("the instances know each other", || {
        owned(&entries[0], "entry-1") + owned(&entries[1], "entry-2") == 4
    });

    let (_, found) = entries[0].search("r", "kerb", 5_000);

    assert!(is_complete(&found), "{found}");
    assert_eq!(found["rows"].as_array().map(Vec::len), Some(4));
    let sent = |entry: &TestEntry| entry.metric("anvilhub_sub_requests_total") as usize;
    let owned = [owned(&entries[0], "entry-1"), owned(&entries[1], "entry-2")];
    assert_eq!(
        [sent(&entries[0]), sent(&entries[1])],
        owned,
        "each instance sends to the shards that it owns"
    );
    assert!(owned[1] > 0, "the case needs a shard of the other instance");
}

/// The instance that gathers does not know the ranges of upstreams that another one sends to.
#[test]
fn moved_keys_are_found_by_owners() {
    let width = 1_u64 << 30;
    let kept = width / 2;
    let shrunk = FakeUpstream::start(move |call| {
        let mut found = answer(call, 1);
        found["end"] = kept.into();
        FakeReply::Json(200, found)
    });
    shrunk.report(0, kept, &[1]);
    let grown = FakeUpstream::sound();
    grown.report(kept, 2 * width, &[1]);
    let upstreams = [shrunk, grown, FakeUpstream::sound(), FakeUpstream::sound()];
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&four_shards(&upstreams));
    eventually("the instances know each other", || {
        owned(&entries[0], "entry-1") + owned(&entries[1], "entry-2") == 4
    });

    for entry in &entries {
        eventually("the moved keys are found", || {
            is_complete(&entry.search("r", "kerb", 5_000).1)
        });
    }
}

/// The answers of the other shards must not be lost with the late one of their owner.
#[test]
fn late_shard_of_owner_is_named() {
    let mut upstreams = [(); 4].map(|()| FakeUpstream::sound());
    upstreams[2] = FakeUpstream::start(|_| FakeReply::Silent);
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&four_shards(&upstreams));
    eventually("the instances know each other", || {
        owned(&entries[0], "entry-1") + owned(&entries[1], "entry-2") == 4
    });

    for entry in &entries {
        let (_, found) = entry.search("r", "kerb", 1_000);
        assert_eq!(found["coverage"]["fraction"], 0.75, "{found}");
        assert_eq!(found["coverage"]["missing"][0]["reason"], "timeout");
    }
}

/// What no upstream ran may be sent again, so its owner has to say so.
#[test]
fn refused_batches_are_not_run() {
    let upstreams = [(); 4].map(|()| FakeUpstream::start(|call| refusal(call, "shed", &[1])));
    let entries: [TestEntry; 2] = TestEntry::start_fleet(&four_shards(&upstreams));
    eventually("the instances know each other", || {
        owned(&entries[0], "entry-1") + owned(&entries[1], "entry-2") == 4
    });

    let (status, found) = entries[0].search("r", "kerb", 5_000);

    assert_eq!(
        (status, &found["outcome"]),
        (503, &"not_run".into()),
        "{found}"
    );
}

#[test]
fn lost_owner_is_bypassed() {
    let upstreams = [(); 4].map(|()| FakeUpstream::sound());
    let [entry, mut other] = TestEntry::start_fleet(&four_shards(&upstreams));
    eventually("the instances know each other", || {
        owned(&entry, "entry-1") < 4
    });
    assert!(is_complete(&entry.search("r", "kerb", 5_000).1));

    other.kill();
    let (_, found) = entry.search("r", "kerb", 5_000);

    assert!(is_complete(&found), "{found}");
    assert!(entry.metric("anvilhub_owner_bypasses_total") >= 1.0);
}

/// Its connections stay open, so only the missing answers show it.
#[test]
fn paused_owner_is_bypassed() {
    let upstreams = [(); 4].map(|()| FakeUpstream::sound());
    let [entry, other] = TestEntry::start_fleet(&four_shards(&upstreams));
    eventually("the instances know each other", || {
        owned(&entry, "entry-1") < 4
    });
    assert!(is_complete(&entry.search("r", "kerb", 5_000).1));

    other.signal("STOP");
    let answers = [(); REQUESTS].map(|()| entry.search("r", "kerb", 150).1);
    let bypasses = entry.metric("anvilhub_owner_bypasses_total") as usize;
    other.signal("CONT");

    assert!(answers.iter().any(is_complete), "{answers:?}");
    assert!(
        bypasses < REQUESTS,
        "every request waited for the silent owner first"
    );
}
