/// Number of connections that this instance may hold to one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConnectionTarget {
    /// This instance's share of the upstream's connection limit.
    pub(crate) max_connections: u32,
    /// Number of connections that are opened before a request needs them.
    pub(crate) warm_connections: u32,
}
