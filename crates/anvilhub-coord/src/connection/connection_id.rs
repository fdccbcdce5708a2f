use derive_more::{Display, From, Into};

/// Identifier of a connection, unique within a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into)]
pub struct ConnectionId(pub u64);
