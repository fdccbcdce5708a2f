use tokio::sync::Notify;

use crate::routes::LockCell;

/// Decides whether an attempt may send its request, at the moment at which it would send it.
///
/// An attempt is placed long before that if it waits for a connection to a slow upstream. Its run closes the gate when it
/// ends, because its caller has left or has been answered: from then on either the request was sent, or it never will be.
#[derive(Debug, Default)]
pub(super) struct SendGate {
    state: LockCell<GateState>,
    closed: Notify,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum GateState {
    /// Nothing has been sent.
    #[default]
    Open,
    /// The request may have been sent.
    Passed,
    /// Nothing was sent, and nothing will be.
    Closed,
}

impl SendGate {
    /// Returns whether the request may be sent now, and records that it is.
    pub(super) fn pass(&self) -> bool {
        self.state.with(|state| match state {
            GateState::Open | GateState::Passed => {
                *state = GateState::Passed;
                true
            }
            GateState::Closed => false,
        })
    }

    /// Returns whether the request may have been sent.
    pub(super) fn is_passed(&self) -> bool {
        self.state.with(|state| *state == GateState::Passed)
    }

    /// Closes the gate. Returns whether the request was not sent and will not be.
    pub(super) fn close(&self) -> bool {
        let is_unsent = self.state.with(|state| match state {
            GateState::Open | GateState::Closed => {
                *state = GateState::Closed;
                true
            }
            GateState::Passed => false,
        });
        if is_unsent {
            self.closed.notify_waiters();
        }
        is_unsent
    }

    /// Waits until the gate is closed.
    pub(super) async fn wait_closed(&self) {
        loop {
            let closed = self.closed.notified();
            if self.state.with(|state| *state == GateState::Closed) {
                return;
            }
            closed.await;
        }
    }
}
