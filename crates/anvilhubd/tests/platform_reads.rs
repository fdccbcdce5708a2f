//! Guards against published sheets that an instance never sees.

use crate::fixture::{FIRST_REVISION, FakeUpstream, TestEntry, eventually, service, shard};

#[test]
fn lower_revision_is_read() {
    let upstream = FakeUpstream::sound();
    let sheet = |version| service(version, "direct", vec![shard(0, 1, &[&upstream])]);
    let entry = TestEntry::start(&sheet(1));

    // A watch for a revision above the present one would wait forever.
    entry.platform.restart(FIRST_REVISION / 2, &sheet(2));

    eventually("the new version is in force", || {
        entry.get("/state").1["sheet"]["version"] == 2
    });
}
