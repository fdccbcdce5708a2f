//! Guards against slow replicas that get work without need, and against queues that grow while slots are free.

use anvilhub_coord::ids::SlotCount;
use anvilhub_coord::routing::SlotOverflow;

#[test]
fn long_queue_overflows() {
    let overflow = SlotOverflow::new(SlotCount(2));
    let usable = SlotCount(2);
    assert_eq!(overflow.extra_slots(16, usable, &[0]), 0);
    assert_eq!(overflow.extra_slots(17, usable, &[0]), 2);
    assert_eq!(overflow.extra_slots(17, usable, &[]), 0);
    assert_eq!(
        overflow.extra_slots(0, usable, &[1]),
        1,
        "a sub-request at a slow replica does not occupy a slot of the others"
    );
}

#[test]
fn healthy_replicas_first() {
    let overflow = SlotOverflow::new(SlotCount(2));
    let allowed = SlotCount(4);
    assert_eq!(overflow.pick_ejected(3, allowed, &[0]), None);
    assert_eq!(overflow.pick_ejected(4, allowed, &[2, 1]), Some(1));
    assert_eq!(overflow.pick_ejected(4, allowed, &[2, 2]), None);
}
