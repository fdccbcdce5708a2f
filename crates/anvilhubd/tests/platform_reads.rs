//! Guards against published sheets that an instance never reads because the platform lost its data and counts revisions
//! from a lower number again.

use crate::fixture::{
    FIRST_REVISION, FakeUpstream, TestEntry, build_shard, build_sheet, wait_until,
};

#[test]
fn lower_revision_read() {
    let upstream = FakeUpstream::start_healthy();
    let sheet = |version| build_sheet(version, "direct", vec![build_shard(0, 1, &[&upstream])]);
    let entry = TestEntry::start(&sheet(1));

    // A watch for a revision above the current one would never return.
    entry.platform.restart(FIRST_REVISION / 2, &sheet(2));

    wait_until("the new version is in force", || {
        entry.get("/state").1["sheet"]["version"] == 2
    });
}
