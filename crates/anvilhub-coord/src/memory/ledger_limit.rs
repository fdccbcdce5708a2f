use crate::ids::ByteSize;

/// How much memory clients may make a process hold, beside what each open connection takes in any case.
///
/// Designed for few clients with long answers, on an instance whose plan provides for many connections: what those that are
/// not open would take is lent to the answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimit {
    /// The limit while every connection is open.
    pub base: ByteSize,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// What is lent for each connection that is not open.
    pub lent_per_connection: ByteSize,
}

impl LedgerLimit {
    /// Returns the limit that `size` is at all times.
    pub fn fixed(size: ByteSize) -> Self {
        Self {
            base: size,
            max_connections: 0,
            lent_per_connection: ByteSize(0),
        }
    }

    /// Returns the limit while this number of connections is open.
    pub fn at(&self, open_connections: usize) -> ByteSize {
        let unused = self.max_connections.saturating_sub(open_connections);
        ByteSize(self.base.get() + unused as u64 * self.lent_per_connection.get())
    }
}
