/// What connections and work in progress must follow at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReplicaLife {
    /// Counts the kills; work of an earlier life is lost.
    pub(crate) kills: u64,
    /// Whether the replica listens.
    pub(crate) dead: bool,
    /// Whether a drain has ended: the replica answers what is in flight and then closes.
    pub(crate) closed: bool,
    /// Whether the replica answers nothing for now.
    pub(crate) frozen: bool,
}

impl ReplicaLife {
    /// Says whether the replica accepts connections.
    pub(crate) fn listens(self) -> bool {
        !self.dead && !self.closed
    }
}
