use crate::ids::SlotCount;

/// Number of waiting sub-requests per slot of the healthy replicas above which slow, ejected replicas are used as
/// well. At the typical service time, such a queue takes about as long as a replica that is ten times slower.
const MAX_WAITING_PER_SLOT: usize = 8;

/// Decides when the owner of a shard also uses the slots of replicas that were ejected as slow.
///
/// The remaining replicas can lack capacity, for example while one of them is slowed down by other processes on its
/// machine. Pass only ejected replicas without a failed attempt since their ejection: one that does not answer adds
/// no capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotOverflow {
    slots_per_replica: u32,
}

impl SlotOverflow {
    /// Creates the rule for replicas with `slots_per_replica` slots each.
    pub fn new(slots_per_replica: SlotCount) -> Self {
        Self {
            slots_per_replica: slots_per_replica.get(),
        }
    }

    /// Returns the slots to add to a queue with `waiting` items for `usable` slots. `ejected` holds the number of
    /// sub-requests in flight at each ejected replica. These always count, so that they do not occupy the slots of
    /// the other replicas.
    pub fn extra_slots(&self, waiting: usize, usable: SlotCount, ejected: &[u32]) -> u32 {
        let is_overloaded = waiting > MAX_WAITING_PER_SLOT * usable.get() as usize;
        let extra = ejected.iter().map(|&in_flight| match is_overloaded {
            true => in_flight.max(self.slots_per_replica),
            false => in_flight,
        });
        extra.sum()
    }

    /// Returns the index of the ejected replica for a first attempt. `in_flight` and `allowed` are the current and
    /// the maximum number of sub-requests in flight at the other replicas. Returns `None` while these have a free
    /// slot, or if no ejected replica has one.
    pub fn pick_ejected(
        &self,
        in_flight: u32,
        allowed: SlotCount,
        ejected: &[u32],
    ) -> Option<usize> {
        if in_flight < allowed.get() {
            return None;
        }
        ejected
            .iter()
            .position(|&in_flight| in_flight < self.slots_per_replica)
    }
}
