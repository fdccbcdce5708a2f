use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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
    ready: watch::Sender<bool>,
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
            ready: watch::channel(false).0,
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
        self.acceptor().message(is_draining, draining)
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

    /// Publishes whether the sheet in force may be used.
    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready
            .send_if_modified(|present| std::mem::replace(present, ready) != ready);
    }

    pub(crate) fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Waits for at most `patience` until the sheet in force may be used.
    pub(crate) async fn wait_ready(self: &Arc<Self>, patience: Duration) -> bool {
        let mut ready = self.ready.subscribe();
        let waited = timeout(patience, ready.wait_for(|ready| *ready)).await;
        matches!(waited, Ok(Ok(_)))
    }
}
