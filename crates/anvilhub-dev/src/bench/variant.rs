use derive_more::Display;

/// Who queues for the slots of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Coordination {
    /// Every entry sends as far as its connections reach.
    #[display("independent")]
    Independent,
    /// Every entry has an equal share of the slots, at least one per shard.
    #[display("slot_share")]
    SlotShare,
    /// One entry per shard queues and admits for all.
    #[display("owner")]
    Owner,
}

/// A way to run the same work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Variant {
    /// Name in the tables.
    pub name: &'static str,
    /// Round robin, fixed timeout, one retry on any error, no admission, no hedges.
    pub baseline: bool,
    /// Who queues for slots.
    pub coordination: Coordination,
    /// Whether sub-requests of one query to one owner share a message.
    pub batched: bool,
}

impl Variant {
    /// The permanent baseline.
    pub const BASELINE: Self = Self {
        name: "baseline",
        baseline: true,
        coordination: Coordination::Independent,
        batched: false,
    };

    /// The baseline and the compared ways to coordinate entries.
    pub const ALL: [Self; 5] = [
        Self::BASELINE,
        Self::new("independent", Coordination::Independent, false),
        Self::new("slot_share", Coordination::SlotShare, false),
        Self::new("owner", Coordination::Owner, false),
        Self::new("owner_batched", Coordination::Owner, true),
    ];

    const fn new(name: &'static str, coordination: Coordination, batched: bool) -> Self {
        Self {
            name,
            baseline: false,
            coordination,
            batched,
        }
    }
}
