//! Guards against slow replicas that get work although the others have free slots, and against a queue that grows
//! while slots of slow replicas are free.

use anvilhub_coord::ids::SlotCount;
use anvilhub_coord::routing::OverflowPolicy;

#[test]
fn long_queue_overflows() {
    let policy = OverflowPolicy::new(SlotCount(2));
    let usable_slots = SlotCount(2);
    assert_eq!(policy.extra_slots(16, usable_slots, &[0]), 0);
    assert_eq!(policy.extra_slots(17, usable_slots, &[0]), 2);
    assert_eq!(policy.extra_slots(17, usable_slots, &[]), 0);
    assert_eq!(
        policy.extra_slots(0, usable_slots, &[1]),
        1,
        "a sub-request at a slow replica does not occupy a slot of the others"
    );
}

#[test]
fn healthy_replicas_first() {
    let policy = OverflowPolicy::new(SlotCount(2));
    let max_in_flight = SlotCount(4);
    assert_eq!(policy.pick_ejected(3, max_in_flight, &[0]), None);
    assert_eq!(policy.pick_ejected(4, max_in_flight, &[2, 1]), Some(1));
    assert_eq!(policy.pick_ejected(4, max_in_flight, &[2, 2]), None);
}
