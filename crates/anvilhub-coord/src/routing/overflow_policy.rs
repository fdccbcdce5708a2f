use crate::ids::SlotCount;

/// Number of waiting sub-requests per slot of the healthy replicas above which slow, ejected replicas are used as
/// well. At the typical service time, such a queue takes about as long as a replica that is ten times slower.
const MAX_WAITING_PER_SLOT: usize = 8;

/// Decides when the owner of a shard also uses the slots of replicas that were ejected as slow.
///
/// The remaining replicas can lack capacity, for example while one of them is slowed down by other processes on its
/// machine. Pass only ejected replicas without a failed attempt since their ejection: a replica that does not answer
/// adds no capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverflowPolicy {
    slots_per_replica: u32,
}

impl OverflowPolicy {
    /// Creates the policy for replicas with `slots_per_replica` slots each.
    pub fn new(slots_per_replica: SlotCount) -> Self {
        Self {
            slots_per_replica: slots_per_replica.get(),
        }
    }

    /// Returns the number of slots to add to a queue in which `waiting_count` items wait for `usable_slots`.
    ///
    /// `ejected_in_flight` holds the number of sub-requests in flight at each ejected replica. A slot is added for
    /// each of them even without overload, so that they do not occupy the slots of the other replicas.
    pub fn extra_slots(
        &self,
        waiting_count: usize,
        usable_slots: SlotCount,
        ejected_in_flight: &[u32],
    ) -> u32 {
        let is_overloaded = waiting_count > MAX_WAITING_PER_SLOT * usable_slots.get() as usize;
        let extra_slots = ejected_in_flight
            .iter()
            .map(|&in_flight| match is_overloaded {
                true => in_flight.max(self.slots_per_replica),
                false => in_flight,
            });
        extra_slots.sum()
    }

    /// Returns the index of the ejected replica for a first attempt, or `None` while the other replicas have a free
    /// slot or if no ejected replica has one.
    ///
    /// `in_flight` and `max_in_flight` are the current and the maximum number of sub-requests in flight at the other
    /// replicas together, and `ejected_in_flight` the current number at each ejected replica.
    pub fn pick_ejected(
        &self,
        in_flight: u32,
        max_in_flight: SlotCount,
        ejected_in_flight: &[u32],
    ) -> Option<usize> {
        if in_flight < max_in_flight.get() {
            return None;
        }
        ejected_in_flight
            .iter()
            .position(|&in_flight| in_flight < self.slots_per_replica)
    }
}
