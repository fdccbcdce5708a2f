//! Guards against requests that are lost on connections that a device on the network has silently dropped.

use serde_json::json;

use crate::fixture::{FakeUpstream, TestEntry, service, shard, wait_until};

#[test]
fn silent_connections_are_closed() {
    let upstream = FakeUpstream::healthy();
    let entry = TestEntry::start(&service(1, "direct", vec![shard(0, 1, &[&upstream])]));
    wait_until("connections are open", || {
        upstream.connection_counts().0 >= 2
    });
    assert_eq!(entry.send_query("r", "kerb", 2_000).0, 200);

    let silent = upstream.silence_open_connections();

    wait_until("requests are answered on new connections", || {
        entry.send_query("r", "kerb", 1_000).1["coverage"]["complete"] == true
    });
    wait_until("the silent connections are closed", || {
        upstream.connection_counts().1 >= silent
    });
    assert!(entry.metric("anvilhub_silent_connections_total") >= 1.0);
}

#[test]
fn removed_upstream_is_disconnected() {
    let kept = FakeUpstream::healthy();
    let removed = FakeUpstream::healthy();
    let entry = TestEntry::start(&service(1, "direct", vec![shard(0, 1, &[&kept, &removed])]));
    wait_until("connections are open", || {
        removed.connection_counts().0 >= 2
    });

    let mut sheet = service(2, "direct", vec![shard(0, 1, &[&kept])]);
    sheet["confirm_removals"] = json!(["stock"]);
    entry.platform.publish(&sheet);

    wait_until("the connections of the removed upstream are closed", || {
        let (opened, closed) = removed.connection_counts();
        opened == closed
    });
    let requests_before = removed.requests("/query").len();
    assert_eq!(entry.send_query("r", "kerb", 2_000).0, 200);
    assert_eq!(removed.requests("/query").len(), requests_before);
}
