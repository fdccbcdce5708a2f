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

/// Maximum number of inputs that wait for the configuration controller.
const MAX_QUEUED_INPUTS: usize = 1_024;

/// State that the configuration controller shares with other threads: the sheet acceptor, the queue of its inputs, and
/// whether the sheet in force may be used.
///
/// Only the controller changes the acceptor, so that sheets are put in force in the acceptor's order.
pub(crate) struct ConfigState {
    acceptor: Mutex<SheetAcceptor>,
    input_sender: Sender<SheetInput>,
    input_receiver: Receiver<SheetInput>,
    readiness: watch::Sender<SheetReadiness>,
}

/// Whether the sheet in force may be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SheetReadiness {
    /// Whether the acceptor last reported the sheet as confirmed.
    is_confirmed: bool,
    /// End of the last pause that was reported to the acceptor. A later pause makes `is_confirmed` invalid.
    acknowledged_pause_end: Option<ClockTime>,
}

impl SheetReadiness {
    fn is_ready(&self, resumed_at: Option<ClockTime>) -> bool {
        self.is_confirmed && self.acknowledged_pause_end >= resumed_at
    }
}

impl ConfigState {
    pub(crate) fn new(
        identity: PeerIdentity,
        isolated_start_after: Option<Duration>,
        now: ClockTime,
    ) -> Self {
        let settings = AcceptorSettings {
            isolated_start_after,
            ..AcceptorSettings::default()
        };
        let (input_sender, input_receiver) = bounded(MAX_QUEUED_INPUTS);
        Self {
            acceptor: Mutex::new(SheetAcceptor::new(identity, settings, now)),
            input_sender,
            input_receiver,
            readiness: watch::channel(SheetReadiness::default()).0,
        }
    }

    /// Queues an input for the controller. It is dropped when the queue is full; peers send their state again.
    pub(crate) fn queue_input(&self, input: SheetInput) {
        if self.input_sender.try_send(input).is_err() {
            warn!(
                "dropped an input of the configuration controller: its queue of {MAX_QUEUED_INPUTS} is full"
            );
        }
    }

    /// Returns the queue of inputs, for the controller.
    pub(crate) fn inputs(&self) -> Receiver<SheetInput> {
        self.input_receiver.clone()
    }

    /// Locks the acceptor.
    pub(crate) fn acceptor(&self) -> MutexGuard<'_, SheetAcceptor> {
        self.acceptor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Builds the message that tells a peer the state of this instance and which upstreams are leaving.
    pub(crate) fn exchange_message(
        &self,
        is_draining: bool,
        leaving_upstreams: Vec<UpstreamId>,
    ) -> ExchangeMessage {
        self.acceptor()
            .exchange_message(is_draining, leaving_upstreams)
    }

    /// Returns the sheet that a peer requested, `None` when there is none to send.
    pub(crate) fn serve_fetch(&self, request: &FetchRequest) -> Option<FetchReply> {
        self.acceptor().serve_fetch(request)
    }

    /// Returns the conditions that need an operator's attention.
    pub(crate) fn alarms(&self) -> Vec<String> {
        self.acceptor()
            .alarms()
            .iter()
            .map(ToString::to_string)
            .collect()
    }

    /// Records that the process resumed at `resumed_at`. Returns whether that pause is new and must be reported to the
    /// acceptor; the sheet then counts as unconfirmed.
    pub(crate) fn acknowledge_pause(&self, resumed_at: Option<ClockTime>) -> bool {
        self.readiness.send_if_modified(|readiness| {
            let is_new = resumed_at > readiness.acknowledged_pause_end;
            if is_new {
                readiness.is_confirmed = false;
                readiness.acknowledged_pause_end = resumed_at;
            }
            is_new
        })
    }

    /// Publishes whether the acceptor reports the sheet in force as confirmed.
    pub(crate) fn set_confirmed(&self, is_confirmed: bool) {
        self.readiness.send_if_modified(|readiness| {
            std::mem::replace(&mut readiness.is_confirmed, is_confirmed) != is_confirmed
        });
    }

    /// Returns whether the sheet in force may be used, given that the last pause ended at `resumed_at`.
    pub(crate) fn is_ready(&self, resumed_at: Option<ClockTime>) -> bool {
        self.readiness.borrow().is_ready(resumed_at)
    }

    /// Waits up to `max_wait` until the sheet in force may be used. Returns whether it may.
    pub(crate) async fn wait_ready(
        &self,
        max_wait: Duration,
        resumed_at: impl Fn() -> Option<ClockTime>,
    ) -> bool {
        let mut readiness = self.readiness.subscribe();
        let is_ready = |readiness: &SheetReadiness| readiness.is_ready(resumed_at());
        let result = timeout(max_wait, readiness.wait_for(is_ready)).await;
        matches!(result, Ok(Ok(_)))
    }
}
