use std::net::SocketAddr;

use derive_more::Display;

use crate::ids::{Incarnation, InstanceId};

/// One run of one instance, as tickets name it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display)]
#[display("{instance} incarnation {incarnation} at {address}")]
pub struct TicketIdentity {
    /// The instance.
    pub instance: InstanceId,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its run; a restarted instance has another one and none of the old tickets.
    pub incarnation: Incarnation,
}
