use std::net::SocketAddr;

use derive_more::Display;

use crate::ids::{Incarnation, InstanceId};

/// The owner of tickets: one incarnation of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display)]
#[display("{instance} incarnation {incarnation} at {address}")]
pub struct TicketOwner {
    /// Identifier of the instance.
    pub instance: InstanceId,
    /// Peer address of the instance.
    pub address: SocketAddr,
    /// Incarnation of the instance. A restarted instance has a new one and has lost all earlier tickets.
    pub incarnation: Incarnation,
}
