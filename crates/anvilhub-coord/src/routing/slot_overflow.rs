use crate::ids::SlotCount;

/// Waiting sub-requests per slot of the replicas in use above which slow ejected ones help. At the usual service
/// time such a queue takes about as long as a replica that is ten times slower.
const LONG_QUEUE: usize = 8;

/// When the owner of a shard also uses the slots of replicas that are ejected as slow.
///
/// The replicas left can be short of capacity, for instance while neighbours disturb one of them. Pass ejected
/// replicas without a failed attempt since their ejection only: one that does not answer is of no help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotOverflow {
    per_replica: u32,
}

impl SlotOverflow {
    /// Overflow to replicas with `per_replica` slots each.
    pub fn new(per_replica: SlotCount) -> Self {
        Self {
            per_replica: per_replica.get(),
        }
    }

    /// Slots to add to a queue with `waiting` items in front of `usable` slots. What is in flight at ejected
    /// replicas is always counted, so that it does not occupy the slots of the others.
    pub fn extra_slots(&self, waiting: usize, usable: SlotCount, ejected: &[u32]) -> u32 {
        let is_long = waiting > LONG_QUEUE * usable.get() as usize;
        let held = ejected.iter().map(|&in_flight| match is_long {
            true => in_flight.max(self.per_replica),
            false => in_flight,
        });
        held.sum()
    }

    /// The ejected replica for a first attempt, by index, when the `allowed` sub-requests are in flight at the
    /// others; none when they have room or no ejected one has a free slot.
    pub fn pick_ejected(
        &self,
        in_flight: u32,
        allowed: SlotCount,
        ejected: &[u32],
    ) -> Option<usize> {
        if in_flight < allowed.get() {
            return None;
        }
        ejected.iter().position(|&held| held < self.per_replica)
    }
}
