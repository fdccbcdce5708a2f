//! Guards against requests that are lost on connections which something in between forgot.

use serde_json::json;

use crate::fixture::{FakeUpstream, TestEntry, eventually, service, shard};

#[test]
fn silent_connections_close() {
    let upstream = FakeUpstream::sound();
    let entry = TestEntry::start(&service(1, "direct", vec![shard(0, 1, &[&upstream])]));
    eventually("connections are warm", || upstream.connections().0 >= 2);
    assert_eq!(entry.search("r", "kerb", 2_000).0, 200);

    let silent = upstream.silence_existing();

    eventually("requests are answered on new connections", || {
        entry.search("r", "kerb", 1_000).1["coverage"]["complete"] == true
    });
    eventually("the silent connections are closed", || {
        upstream.connections().1 >= silent
    });
    assert!(entry.metric("anvilhub_silent_connections_total") >= 1.0);
}

#[test]
fn removed_upstream_is_left() {
    let stays = FakeUpstream::sound();
    let goes = FakeUpstream::sound();
    let entry = TestEntry::start(&service(1, "direct", vec![shard(0, 1, &[&stays, &goes])]));
    eventually("connections are warm", || goes.connections().0 >= 2);

    let mut sheet = service(2, "direct", vec![shard(0, 1, &[&stays])]);
    sheet["confirm_removals"] = json!(["stock"]);
    entry.platform.publish(&sheet);

    eventually("its connections are closed", || {
        let (opened, closed) = goes.connections();
        opened == closed
    });
    let before = goes.calls("/query").len();
    assert_eq!(entry.search("r", "kerb", 2_000).0, 200);
    assert_eq!(goes.calls("/query").len(), before);
}
