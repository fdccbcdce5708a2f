use std::net::SocketAddr;

use crate::mutation;

use super::{NotRunReason, RequestTicket, TicketIdentity, TicketOutcome, UnknownReason};

/// Where a ticketed request came from.
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
    /// The ticket is this instance's own: start it in the table.
    Own,
    /// Forward to the owner and relay its answer. Without one the outcome is
    /// [`UnknownReason::OwnerUnreachable`]. Forwarding again is safe: the owner runs a ticket once.
    Forward(SocketAddr),
    /// Answer `unknown`. Another instance's ticket is never run here and never `not_run`.
    Unknown(UnknownReason),
}

impl ForwardDecision {
    /// Decides what the instance `me` does with `ticket`.
    ///
    /// `listed` is the owner's peer address from the instance list, the settings or direct evidence. The
    /// ticket's own address is caller input and is not connected to without it. A list that lags costs an
    /// `unknown` only.
    pub fn decide(
        ticket: &RequestTicket,
        me: &TicketIdentity,
        origin: RequestOrigin,
        listed: Option<SocketAddr>,
    ) -> Self {
        let owner = &ticket.owner;
        if owner == me {
            return Self::Own;
        }
        if owner.instance == me.instance {
            return Self::Unknown(UnknownReason::IncarnationEnded);
        }
        // A forwarded request reaches its owner or nobody: instances that disagree about addresses must
        // not pass it around.
        if origin == RequestOrigin::Peer {
            return Self::Unknown(UnknownReason::IncarnationEnded);
        }
        match listed {
            Some(address) if address == owner.address => Self::Forward(address),
            _ => Self::Unknown(UnknownReason::OwnerNotListed),
        }
    }

    /// The outcome of a forward that brought no answer of the owner: refused, timed out, broken off.
    ///
    /// Even a refused connection proves nothing: an earlier copy may have reached the owner.
    pub fn unanswered_outcome() -> TicketOutcome {
        match mutation::is_active("unreachable_is_not_run") {
            true => TicketOutcome::NotRun(NotRunReason::NoUpstream),
            false => TicketOutcome::Unknown(UnknownReason::OwnerUnreachable),
        }
    }
}
