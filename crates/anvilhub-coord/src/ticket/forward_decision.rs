use std::net::SocketAddr;

use crate::mutation;

use super::{NotRunReason, RequestTicket, TicketOutcome, TicketOwner, UnknownReason};

/// Who sent a ticketed request to this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller sent it.
    Caller,
    /// Another instance forwarded it.
    Peer,
}

/// What an instance does with a ticketed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardDecision {
    /// Start the request in the table of this instance, which owns the ticket.
    StartHere,
    /// Forward the request to the owner and return its answer. If the owner does not answer, the outcome is
    /// [`UnknownReason::OwnerUnreachable`]. Forwarding again is safe: the owner runs a ticket once.
    Forward(SocketAddr),
    /// Answer `unknown`. A ticket of another instance is never run here and never answered with `not_run`.
    Unknown(UnknownReason),
}

impl ForwardDecision {
    /// Decides what the instance `own_instance` does with `ticket`.
    ///
    /// `listed_address` is the owner's peer address according to the instance list, the settings or the owner's own
    /// messages. The address in the ticket is caller input: it is used only if it equals the listed one. If the list
    /// lags behind, the outcome is at worst `unknown`.
    pub fn decide(
        ticket: &RequestTicket,
        own_instance: &TicketOwner,
        origin: RequestOrigin,
        listed_address: Option<SocketAddr>,
    ) -> Self {
        let owner = &ticket.owner;
        if owner == own_instance {
            return Self::StartHere;
        }
        if owner.instance == own_instance.instance {
            return Self::Unknown(UnknownReason::IncarnationEnded);
        }
        // A forwarded request is not forwarded again. Otherwise instances that disagree about addresses could
        // send it around in a loop. The peer sent the request to the owner's listed address, which this instance has
        // now, so the owner's process has ended.
        if origin == RequestOrigin::Peer {
            return Self::Unknown(UnknownReason::IncarnationEnded);
        }
        match listed_address {
            Some(address) if address == owner.address => Self::Forward(address),
            _ => Self::Unknown(UnknownReason::OwnerNotListed),
        }
    }

    /// Returns the outcome of a forwarded request that the owner did not answer because the connection was
    /// refused, timed out or broke.
    ///
    /// Even a refused connection does not prove `not_run`: an earlier copy of the request may have reached the
    /// owner.
    pub fn unanswered_outcome() -> TicketOutcome {
        match mutation::is_active("unreachable_is_not_run") {
            true => TicketOutcome::NotRun(NotRunReason::NoUpstream),
            false => TicketOutcome::Unknown(UnknownReason::OwnerUnreachable),
        }
    }
}
