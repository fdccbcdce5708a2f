//! Guards against urgent attempts that wait behind others for the connections to an upstream, and against less urgent ones
//! that never get one.

use std::time::Duration;

use anvilhub_coord::gateway::{
    CapacityClaim, CapacityDecision, CapacityQueue, CapacityTicket, RouteCatalog, SlotLoad,
};
use anvilhub_coord::ids::SheetVersion;
use anvilhub_coord::time::ClockTime;
use proptest::prelude::*;

const HOLD: Duration = Duration::from_millis(20);
const TARGET: Duration = Duration::from_millis(200);

fn claim(priority: u32, deadline_ms: u64) -> CapacityClaim {
    CapacityClaim {
        deadline: ClockTime::from_millis(deadline_ms),
        ..CapacityClaim::new(priority, true, TARGET)
    }
}

fn unranked(claim: CapacityClaim) -> CapacityClaim {
    CapacityClaim {
        is_ranked: false,
        ..claim
    }
}

/// Returns a queue whose only unit is in use.
fn busy_queue<T>() -> CapacityQueue<T> {
    let mut queue = CapacityQueue::new(1, 1);
    assert!(queue.try_take());
    queue
}

fn enqueue<T: std::fmt::Debug>(
    queue: &mut CapacityQueue<T>,
    now_ms: u64,
    claim: CapacityClaim,
    item: T,
) -> CapacityTicket {
    match queue.offer(ClockTime::from_millis(now_ms), claim, item) {
        CapacityDecision::Queued(ticket) => ticket,
        decision => panic!("not queued: {decision:?}"),
    }
}

/// Returns the attempts that get the unit that is freed at this time.
fn release<T>(queue: &mut CapacityQueue<T>, now_ms: u64) -> Vec<T> {
    let release = queue.release(ClockTime::from_millis(now_ms), HOLD, false);
    release
        .granted
        .into_iter()
        .map(|grant| grant.item)
        .collect()
}

#[test]
fn priority_then_deadline() {
    let mut queue = busy_queue();
    let hedge = CapacityClaim {
        is_extra: true,
        ..claim(0, 500)
    };
    enqueue(&mut queue, 0, claim(1, 400), "low");
    enqueue(&mut queue, 1, hedge, "hedge");
    enqueue(&mut queue, 2, claim(0, 900), "late");
    enqueue(&mut queue, 3, claim(0, 800), "soon");
    let order: Vec<_> = (0..4).flat_map(|_| release(&mut queue, 10)).collect();
    assert_eq!(order, ["soon", "late", "hedge", "low"]);
    assert!(!queue.try_take(), "the last attempt holds the unit");
}

/// A deployment whose routes all have one priority is served as before: deadlines, hedges and priorities do not change the
/// order, and no wait is cut short by an estimate.
#[test]
fn arrival_order_kept() {
    let mut queue = busy_queue();
    let hedge = CapacityClaim {
        is_extra: true,
        ..claim(0, 900)
    };
    let claims = [claim(3, 800), hedge, claim(0, 2), claim(0, 100)];
    for (index, claim) in claims.into_iter().enumerate() {
        enqueue(&mut queue, index as u64, unranked(claim), index);
    }
    assert_eq!(queue.waiting_priority(), None);
    let order: Vec<_> = (0..4).flat_map(|_| release(&mut queue, 1)).collect();
    assert_eq!(order, [0, 1, 2, 3]);
    let routes = RouteCatalog::new(SheetVersion(1), Vec::new());
    assert!(!routes.has_priorities());
}

/// Higher priorities that always wait delay a lower one by its bound at most, and then by one grant at a time.
#[test]
fn passing_over_bounded() {
    let mut queue = busy_queue();
    enqueue(&mut queue, 0, claim(2, 60_000), 2);
    enqueue(&mut queue, 0, claim(1, 60_000), 1);
    enqueue(&mut queue, 0, claim(1, 60_000), 1);
    let mut low_grants = Vec::new();
    for now_ms in (20..=400).step_by(20) {
        enqueue(&mut queue, now_ms, claim(0, 60_000), 0);
        let granted = queue
            .release(ClockTime::from_millis(now_ms), HOLD, false)
            .granted;
        for grant in granted.iter().filter(|grant| grant.item > 0) {
            assert!(grant.passed_over.is_some_and(|time| time >= TARGET / 2));
            low_grants.push((now_ms, grant.item));
        }
    }
    // Passed over from 20 ms on; the second of priority 1 from 160 ms on, when the highest priority goes first again.
    assert_eq!(low_grants, [(120, 1), (140, 2), (260, 1)]);
}

/// A stall of the upstream does not count as being passed over: the highest priority still goes first after it.
#[test]
fn stall_keeps_order() {
    let mut queue = busy_queue();
    enqueue(&mut queue, 0, claim(1, 60_000), "low");
    enqueue(&mut queue, 900, claim(0, 60_000), "high");
    assert_eq!(release(&mut queue, 1_000), ["high"]);
}

/// An attempt that cannot be answered in time is rejected when it arrives, so that it can go elsewhere, and an expired one
/// gets no capacity.
#[test]
fn late_rejected() {
    let mut queue = busy_queue();
    enqueue(&mut queue, 0, claim(0, 10_000), 0);
    assert_eq!(release(&mut queue, 20), [0]);
    for item in 0..9 {
        enqueue(&mut queue, 20, claim(0, 10_000), item);
    }
    // Nine attempts before it, its own turn and its own work, each half of the usual 20 ms.
    let now = ClockTime::from_millis(20);
    let decision = queue.offer(now, claim(1, 130), 99);
    assert_eq!(decision, CapacityDecision::Rejected(99));
    enqueue(&mut queue, 20, claim(1, 131), 10);
    enqueue(&mut queue, 20, claim(0, 100), 11);
    let release = queue.release(ClockTime::from_millis(200), HOLD, false);
    assert_eq!(release.expired, [11]);
    assert_eq!(release.granted.len(), 1);
}

/// A waiter that leaves frees its place, and its priority no longer counts as waiting.
#[test]
fn withdrawn_frees_place() {
    let mut queue = busy_queue();
    let ticket = enqueue(&mut queue, 0, claim(0, 900), "left");
    enqueue(&mut queue, 0, claim(1, 900), "next");
    assert_eq!(queue.waiting_priority(), Some(0));
    assert_eq!(queue.withdraw(ticket), Some("left"));
    assert_eq!(queue.withdraw(ticket), None);
    assert_eq!(queue.waiting_priority(), Some(1));
    assert_eq!(release(&mut queue, 10), ["next"]);
}

fn lower(deadline_ms: u64) -> CapacityClaim {
    CapacityClaim {
        has_higher: true,
        ..claim(1, deadline_ms)
    }
}

/// Lower priorities filled the queue of the upstream, where higher ones cannot overtake them. The highest priority may still
/// use every connection.
#[test]
fn lower_held_back() {
    let mut queue = CapacityQueue::new(4, 1);
    let now = ClockTime::default();
    assert!(queue.try_take_for(now, &lower(900)));
    assert!(queue.try_take_for(now, &lower(900)));
    assert!(!queue.try_take_for(now, &lower(900)));
    enqueue(&mut queue, 0, lower(900), "held");
    assert!(queue.try_take_for(now, &claim(0, 900)));
    assert!(queue.try_take_for(now, &claim(0, 900)));
    assert_eq!(queue.busy_count(), 4);
    // The two requests of the highest priority fill the upstream.
    assert!(queue.release(now, HOLD, true).granted.is_empty());
    assert_eq!(queue.release(now, HOLD, true).granted.len(), 1);
}

/// Requests of other instances count, but an attempt is held back only while another one is in flight, whose end wakes it,
/// and only while the report is recent.
#[test]
fn others_hold_back() {
    let mut queue: CapacityQueue<()> = CapacityQueue::new(6, 2);
    let load = SlotLoad {
        running: 2,
        waiting: 3,
        ..SlotLoad::default()
    };
    queue.record_load(ClockTime::default(), load);
    assert!(queue.try_take_for(ClockTime::from_millis(149), &lower(900)));
    assert!(!queue.try_take_for(ClockTime::from_millis(149), &lower(900)));
    assert!(queue.try_take_for(ClockTime::from_millis(150), &lower(900)));
}

proptest! {
    /// Whatever the order of arrivals, releases and withdrawals, no unit is lost or granted twice, and no attempt waits
    /// beside a free unit.
    #[test]
    fn units_conserved(steps in prop::collection::vec((0_u8..4, 0_u32..3, any::<bool>()), 1..200)) {
        let mut queue = CapacityQueue::new(3, 1);
        let mut tickets = Vec::new();
        let mut busy: Vec<bool> = Vec::new();
        for (now_ms, (step, priority, is_extra)) in (0_u64..).zip(steps) {
            let now = ClockTime::from_millis(now_ms * 10);
            let has_higher = priority > 0;
            let claim = CapacityClaim { is_extra, has_higher, ..claim(priority, now_ms * 10 + 300) };
            match step {
                0 | 1 => match queue.offer(now, claim, ()) {
                    CapacityDecision::Granted(()) => busy.push(has_higher),
                    CapacityDecision::Queued(ticket) => tickets.push(ticket),
                    CapacityDecision::Rejected(()) => {}
                },
                2 if !busy.is_empty() => {
                    let has_higher = busy.remove(0);
                    let granted = queue.release(now, HOLD, has_higher).granted;
                    busy.extend(granted.into_iter().map(|grant| grant.claim.has_higher));
                }
                3 => drop(tickets.pop().and_then(|ticket| queue.withdraw(ticket))),
                _ => {}
            }
            prop_assert_eq!(queue.busy_count() as usize, busy.len());
            prop_assert!(busy.len() <= 3);
            let lower_count = busy.iter().filter(|has_higher| **has_higher).count();
            prop_assert!(lower_count <= 2, "one unit is kept free for the highest priority");
            let is_wakened = busy.len() == 3 || lower_count > 0 && queue.waiting_priority() != Some(0);
            prop_assert!(is_wakened || queue.waiting_count() == 0);
        }
    }
}
