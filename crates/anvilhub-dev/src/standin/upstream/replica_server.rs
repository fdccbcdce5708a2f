use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilhub_coord::ids::UpstreamId;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::connection_gate::ConnectionGate;
use super::fault_stream::FaultStream;
use super::replica_life::ReplicaLife;
use super::replica_state::{DrainPlan, ReplicaState, SilencePlan};
use super::sub_service::SubService;
use super::{ReplicaAction, ReplicaSettings};

/// Time that connections get to end after a drain.
const CLOSE_TIME: Duration = Duration::from_secs(5);
/// Pause before a failed bind of a revived replica is tried again.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// One replica: its state, and the loop that accepts its connections.
///
/// The server of `oxhttp` gives no access to its connections and cannot be stopped. Limits on
/// connections, silence, death and closing need both, so this runs hyper's connection API.
pub(crate) struct ReplicaServer {
    id: UpstreamId,
    address: SocketAddr,
    state: Mutex<ReplicaState>,
    life: watch::Sender<ReplicaLife>,
    /// Whether the address is open now; it follows the life with a short delay.
    listening: watch::Sender<bool>,
}

impl ReplicaServer {
    pub(crate) fn new(id: UpstreamId, address: SocketAddr, settings: ReplicaSettings) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(ReplicaState::new(&id, settings)),
            id,
            address,
            life: watch::Sender::default(),
            listening: watch::Sender::default(),
        })
    }

    pub(crate) fn id(&self) -> &UpstreamId {
        &self.id
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn life(&self) -> ReplicaLife {
        *self.life.borrow()
    }

    pub(crate) fn change_life(&self, change: impl FnOnce(&mut ReplicaLife)) {
        self.life.send_modify(change);
    }

    /// Waits while the replica is frozen.
    pub(crate) async fn thawed(&self) {
        self.wait_for(|life| !life.frozen).await;
    }

    /// Waits for the next kill after the first `kills`.
    pub(crate) async fn killed(&self, kills: u64) {
        self.wait_for(|life| life.kills != kills).await;
    }

    /// Counts a connection as open, unless the limit is reached. Gives its number and the time from
    /// which it answers.
    pub(crate) fn count_opening(&self, now: Instant) -> Option<(u64, Instant)> {
        let mut state = self.state();
        if state.open >= state.settings.connections {
            state.counts.over_limit += 1;
            return None;
        }
        state.open += 1;
        state.counts.opened += 1;
        state.counts.most_open = state.counts.most_open.max(u64::from(state.open));
        let opening = Duration::from_millis(state.settings.opening_ms);
        Some((state.counts.opened, now + opening))
    }

    pub(crate) fn count_closing(&self) {
        let mut state = self.state();
        state.open = state.open.saturating_sub(1);
    }

    /// Replaces the settings; further slots are granted at once, and a new lag begins with a sample.
    pub(crate) fn set(&self, settings: ReplicaSettings) {
        let mut state = self.state();
        state.settings = settings;
        state.grant_slots();
        state.sample_reports(Instant::now());
    }

    /// Applies an action.
    pub(crate) fn apply(self: &Arc<Self>, action: ReplicaAction) {
        let now = Instant::now();
        match action {
            ReplicaAction::PublishSnapshot { snapshot } => self.state().publish_snapshot(snapshot),
            ReplicaAction::DropSnapshot { snapshot } => self.state().drop_snapshot(snapshot),
            ReplicaAction::RollBack { snapshot } => self.state().roll_back(snapshot),
            ReplicaAction::Cold { ms } => {
                self.state().cold_until = Some(now + Duration::from_millis(ms));
            }
            ReplicaAction::Drain {
                announce_ms,
                refuse_ms,
            } => self.drain(now + Duration::from_millis(announce_ms), refuse_ms),
            ReplicaAction::StopDrain => {
                self.state().drain = None;
                self.change_life(|life| life.closed = false);
            }
            ReplicaAction::SilenceExisting { mode } => {
                let mut state = self.state();
                let below = state.counts.opened + 1;
                state.silence = Some(SilencePlan { below, mode });
            }
            ReplicaAction::Kill => self.change_life(|life| {
                life.kills += 1;
                life.dead = true;
            }),
            ReplicaAction::Revive => {
                self.state().drain = None;
                self.change_life(|life| {
                    life.dead = false;
                    life.closed = false;
                });
            }
            ReplicaAction::Freeze => self.change_life(|life| life.frozen = true),
            ReplicaAction::Thaw => self.change_life(|life| life.frozen = false),
            ReplicaAction::Fault(fault) => self.state().faults.push_back(fault),
            ReplicaAction::ClearFaults => self.state().faults.clear(),
        }
    }

    /// Starts a drain, and closes at its end unless it was stopped or replaced meanwhile.
    fn drain(self: &Arc<Self>, refuse_at: Instant, refuse_ms: u64) {
        let close_at = refuse_at + Duration::from_millis(refuse_ms);
        let plan = DrainPlan {
            refuse_at,
            close_at,
        };
        self.state().drain = Some(plan);
        let server = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(close_at).await;
            let is_same = |plan: DrainPlan| plan.close_at == close_at;
            if server.state().drain.is_some_and(is_same) {
                server.change_life(|life| life.closed = true);
            }
        });
    }

    /// Serves connections whenever the replica listens, beginning with `listener`.
    pub(crate) async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut first = Some(listener);
        loop {
            self.wait_for(|life| life.listens()).await;
            let listener = match first.take() {
                Some(listener) => listener,
                None => match TcpListener::bind(self.address).await {
                    Ok(listener) => listener,
                    Err(_) => {
                        sleep(BIND_PAUSE).await;
                        continue;
                    }
                },
            };
            self.accept_all(listener).await;
        }
    }

    /// Waits until the address is open or closed as the life says, and killed connections are gone.
    pub(crate) async fn settled(&self) {
        let mut listening = self.listening.subscribe();
        // The sender lives in `self`, so the channel stays open.
        let _ = listening
            .wait_for(|listening| *listening == self.life().listens())
            .await;
    }

    /// Accepts connections until the replica stops listening, and then ends those that are open.
    async fn accept_all(self: &Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        self.listening.send_replace(true);
        loop {
            tokio::select! {
                () = self.wait_for(|life| !life.listens()) => break,
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.spawn_connection(&mut connections, stream),
                    // The process is out of file descriptors; some are freed meanwhile.
                    Err(_) => sleep(BIND_PAUSE).await,
                },
            }
        }
        drop(listener);
        if !self.life().dead {
            let ended = async { while connections.join_next().await.is_some() {} };
            let _ = timeout(CLOSE_TIME, ended).await;
        }
        connections.shutdown().await;
        self.listening.send_replace(false);
    }

    fn spawn_connection(self: &Arc<Self>, connections: &mut JoinSet<()>, stream: TcpStream) {
        let Some(gate) = ConnectionGate::open(self, Instant::now()) else {
            return;
        };
        // Without this, small answers wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        connections.spawn(Arc::clone(self).serve_connection(stream, gate));
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, gate: ConnectionGate) {
        let io = TokioIo::new(FaultStream::new(stream, Arc::clone(&gate.plan)));
        let sub_service = Arc::new(SubService::new(Arc::clone(&self), gate));
        let service = service_fn(move |request| {
            let sub_service = Arc::clone(&sub_service);
            async move { sub_service.handle(request).await }
        });
        let mut connection = pin!(http1::Builder::new().serve_connection(io, service));
        // An error is the peer's disconnection or a commanded drop; both end the connection.
        tokio::select! {
            _ = connection.as_mut() => return,
            () = self.wait_for(|life| life.closed) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    async fn wait_for(&self, reached: impl FnMut(&ReplicaLife) -> bool) {
        // The sender lives in `self`, so the channel stays open.
        let _ = self.life.subscribe().wait_for(reached).await;
    }
}
