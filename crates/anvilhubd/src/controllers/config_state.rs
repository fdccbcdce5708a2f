use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilhub_coord::configuration::{
    AcceptorSettings, ExchangeMessage, FetchReply, FetchRequest, PeerIdentity, SheetAcceptor,
    SheetInput,
};
use anvilhub_coord::ids::UpstreamId;
use anvilhub_coord::time::ClockTime;
use crossbeam::channel::{Receiver, Sender, bounded};
use log::warn;
use tokio::sync::watch;
use tokio::time::timeout;

/// Observations that may wait for the configuration controller.
const INPUT_CAPACITY: usize = 1_024;

/// What the configuration controller shares: the acceptor, its inputs, and whether its sheet may be used.
///
/// Only the controller changes the acceptor, so that sheets are put in force in the acceptor's order.
pub(crate) struct ConfigState {
    acceptor: Mutex<SheetAcceptor>,
    sender: Sender<SheetInput>,
    receiver: Receiver<SheetInput>,
    readiness: watch::Sender<SheetReadiness>,
}

/// Whether the sheet in force may be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SheetReadiness {
    /// What the acceptor said when it was last asked.
    accepted: bool,
    /// End of the last pause that the acceptor has heard of. What it said does not hold after a later one.
    acknowledged: Option<ClockTime>,
}

impl SheetReadiness {
    fn is_ready(&self, resumed_at: Option<ClockTime>) -> bool {
        self.accepted && self.acknowledged >= resumed_at
    }
}

impl ConfigState {
    pub(crate) fn new(identity: PeerIdentity, isolated: Option<Duration>, now: ClockTime) -> Self {
        let settings = AcceptorSettings {
            isolated_start_after: isolated,
            ..AcceptorSettings::default()
        };
        let (sender, receiver) = bounded(INPUT_CAPACITY);
        Self {
            acceptor: Mutex::new(SheetAcceptor::new(identity, settings, now)),
            sender,
            receiver,
            readiness: watch::channel(SheetReadiness::default()).0,
        }
    }

    /// Passes an observation to the controller. It is dropped when too many wait; peers repeat themselves.
    pub(crate) fn observe(&self, input: SheetInput) {
        if self.sender.try_send(input).is_err() {
            warn!("an observation of the configuration was dropped: too many wait");
        }
    }

    /// The observations, for the controller.
    pub(crate) fn inputs(&self) -> Receiver<SheetInput> {
        self.receiver.clone()
    }

    pub(crate) fn acceptor(&self) -> MutexGuard<'_, SheetAcceptor> {
        self.acceptor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The state to tell a peer.
    pub(crate) fn message(&self, is_draining: bool, draining: Vec<UpstreamId>) -> ExchangeMessage {
        self.acceptor().exchange_message(is_draining, draining)
    }

    pub(crate) fn serve_fetch(&self, request: &FetchRequest) -> Option<FetchReply> {
        self.acceptor().serve_fetch(request)
    }

    /// Conditions that need an operator's attention.
    pub(crate) fn alarms(&self) -> Vec<String> {
        self.acceptor()
            .alarms()
            .iter()
            .map(ToString::to_string)
            .collect()
    }

    /// Notes that the process resumed at `resumed_at`; says whether the acceptor has to be told. What the acceptor
    /// said before is withdrawn then.
    pub(crate) fn acknowledge(&self, resumed_at: Option<ClockTime>) -> bool {
        self.readiness.send_if_modified(|readiness| {
            let is_new = resumed_at > readiness.acknowledged;
            if is_new {
                readiness.accepted = false;
                readiness.acknowledged = resumed_at;
            }
            is_new
        })
    }

    /// Publishes whether the acceptor takes the sheet in force for confirmed.
    pub(crate) fn set_accepted(&self, accepted: bool) {
        self.readiness.send_if_modified(|readiness| {
            std::mem::replace(&mut readiness.accepted, accepted) != accepted
        });
    }

    /// Says whether the sheet in force may be used, when the last pause ended at `resumed_at`.
    pub(crate) fn is_ready(&self, resumed_at: Option<ClockTime>) -> bool {
        self.readiness.borrow().is_ready(resumed_at)
    }

    /// Waits for at most `patience` until the sheet in force may be used.
    pub(crate) async fn wait_ready(
        &self,
        patience: Duration,
        resumed_at: impl Fn() -> Option<ClockTime>,
    ) -> bool {
        let mut readiness = self.readiness.subscribe();
        let is_ready = |readiness: &SheetReadiness| readiness.is_ready(resumed_at());
        let waited = timeout(patience, readiness.wait_for(is_ready)).await;
        matches!(waited, Ok(Ok(_)))
    }
}
