use derive_more::Display;

/// How entry instances coordinate their use of a shard's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Coordination {
    /// Every instance sends up to its connection limit.
    #[display("independent")]
    Independent,
    /// Every instance has an equal share of the slots, at least one per shard.
    #[display("slot_share")]
    SlotShare,
    /// The owner of each shard queues and admits sub-requests for all instances.
    #[display("owner")]
    Owner,
}

/// One of the compared ways to run the same workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Variant {
    /// Name in the output tables.
    pub name: &'static str,
    /// Whether this is the baseline: round robin, fixed timeout, one retry on any error, no admission control, no
    /// hedges.
    pub is_baseline: bool,
    /// How instances coordinate.
    pub coordination: Coordination,
    /// Whether sub-requests of one query to the same owner are sent in one message.
    pub is_batched: bool,
}

impl Variant {
    /// The baseline that every variant is compared with.
    pub const BASELINE: Self = Self {
        name: "baseline",
        is_baseline: true,
        coordination: Coordination::Independent,
        is_batched: false,
    };

    /// The baseline and the compared kinds of coordination.
    pub const ALL: [Self; 5] = [
        Self::BASELINE,
        Self::new("independent", Coordination::Independent, false),
        Self::new("slot_share", Coordination::SlotShare, false),
        Self::new("owner", Coordination::Owner, false),
        Self::new("owner_batched", Coordination::Owner, true),
    ];

    const fn new(name: &'static str, coordination: Coordination, is_batched: bool) -> Self {
        Self {
            name,
            is_baseline: false,
            coordination,
            is_batched,
        }
    }
}
