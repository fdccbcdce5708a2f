//! Guards against an instance that can reach the platform and keeps old values, because it goes on asking other
//! instances that cannot.

use std::time::Duration;

use anvilhub_coord::fleet::{FeedRole, FleetTable, OwnReadRule, ReaderRule};
use anvilhub_coord::time::ClockTime;

use crate::member_info::member_info;

const RULE: OwnReadRule = OwnReadRule {
    max_unconfirmed: Duration::from_secs(3),
};
/// How long a reader that is cut off holds the call of a follower that has lost the platform as well.
const HOLD: Duration = Duration::from_millis(500);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + millis)
}

/// Follows readers that are all cut off, `reader_count` in as many other failure domains, until the rule demands a read.
/// Returns the time since the last contact at which it does.
fn time_to_own_read(reader_count: usize) -> Duration {
    let mut table = FleetTable::new(member_info("own", "d-own", 0.1));
    let readers: Vec<_> = (0..reader_count)
        .map(|index| member_info(&format!("r-{index}"), &format!("d-{index}"), 0.5))
        .collect();
    let last_contact = at(0);
    let mut now = last_contact;
    while !RULE.is_due(now, Some(last_contact), None) {
        for reader in &readers {
            table.record_contact(now, reader.clone());
        }
        let role = ReaderRule::default().choose_role(&table, now, |_| 0);
        let FeedRole::Follower(reader) = role else {
            return now.since(last_contact);
        };
        now = now + HOLD.min(RULE.time_until_due(now, Some(last_contact), None));
        table.mark_platform_unreachable(now, &reader.instance);
    }
    now.since(last_contact)
}

/// With three readers or more, one that was asked a second ago is always due to be asked again, so that only the age of
/// the values ends the search.
#[test]
fn circle_bounded() {
    for reader_count in [1, 2, 3, 5, 87, 295] {
        let waited = time_to_own_read(reader_count);
        assert!(
            waited <= RULE.max_unconfirmed,
            "{reader_count} readers that are cut off delay a read by {waited:?}"
        );
    }
}

/// While readers confirm the values, followers do not read the platform, which has to answer the whole fleet.
#[test]
fn confirmed_values_unread() {
    assert!(!RULE.is_due(at(2_900), Some(at(0)), None));
    assert!(RULE.is_due(at(3_000), Some(at(0)), None));
}

/// A platform that is away for everybody is read after a pause only, however old the values are.
#[test]
fn failed_read_paused() {
    let not_before = Some(at(4_500));
    assert!(!RULE.is_due(at(4_000), Some(at(0)), not_before));
    assert!(RULE.is_due(at(4_500), Some(at(0)), not_before));
}

/// An instance that never got a value reads at the latest when its values would be too old.
#[test]
fn start_bounded() {
    assert!(RULE.is_due(ClockTime::from_millis(3_000), None, None));
    assert!(!RULE.is_due(ClockTime::from_millis(2_000), None, None));
}

/// The word of a reader that is cut off does not count against a read that has just succeeded, but it does later.
#[test]
fn own_read_outweighs() {
    assert!(RULE.outweighs_others(at(2_999), Some(at(0))));
    assert!(!RULE.outweighs_others(at(3_000), Some(at(0))));
    assert!(!RULE.outweighs_others(at(0), None));
}
