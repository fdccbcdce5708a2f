/// Lifecycle of a replica. Its connections and running work react to each change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LifecycleState {
    /// Number of times that the replica was killed. Work that began before the last kill is lost.
    pub(crate) kill_count: u64,
    /// Whether the replica was killed and not revived.
    pub(crate) is_dead: bool,
    /// Whether a drain has ended: the replica finishes the requests in flight and then closes its connections.
    pub(crate) is_closed: bool,
    /// Whether the replica holds back all answers.
    pub(crate) is_frozen: bool,
}

impl LifecycleState {
    /// Returns whether the replica accepts connections.
    pub(crate) fn is_listening(self) -> bool {
        !self.is_dead && !self.is_closed
    }
}
