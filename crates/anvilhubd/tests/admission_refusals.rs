//! Guards against requests that wait for nothing, and against a "not run" that did run.

use std::thread;

use crate::fixture::{FakeReply, FakeUpstream, TestEntry, service, shard};

#[test]
fn waiting_request_expires() {
    let stuck = FakeUpstream::start(|_| FakeReply::Silent);
    let entry = TestEntry::start(&service(1, "direct", vec![shard(0, 1, &[&stuck])]));

    thread::scope(|scope| {
        for number in 0..2 {
            let entry = &entry;
            scope.spawn(move || entry.search(&format!("r{number}"), "stuck", 3_000));
        }
        crate::fixture::eventually("both slots are taken", || stuck.calls("/query").len() == 2);

        let (status, found) = entry.search("r", "late", 300);

        assert_eq!(status, 503, "{found}");
        assert_eq!(found["outcome"], "not_run");
        assert_eq!(found["error"]["code"], "expired", "{found}");
    });
    let calls = stuck.calls("/query");
    assert!(
        calls.iter().all(|call| call.body["query"] == "stuck"),
        "{calls:?}"
    );
}
