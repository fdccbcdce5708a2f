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

use super::connection_guard::ConnectionGuard;
use super::connection_service::ConnectionService;
use super::fault_stream::FaultStream;
use super::lifecycle_state::LifecycleState;
use super::replica_state::{DrainPlan, ReplicaState, SilencePlan};
use super::{ReplicaAction, ReplicaSettings};

/// Grace period for open connections after a drain.
const CLOSE_GRACE_PERIOD: Duration = Duration::from_secs(5);
/// Pause before a failed bind or accept is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Server of one replica.
///
/// Uses hyper's connection API: connection limits, silent connections, kills and drains need access to the
/// connections and a server that can be stopped, and the server of `oxhttp` has neither.
pub(crate) struct ReplicaServer {
    id: UpstreamId,
    address: SocketAddr,
    state: Mutex<ReplicaState>,
    lifecycle: watch::Sender<LifecycleState>,
    /// Whether the address is open at present. It follows the lifecycle with a short delay.
    is_address_open: watch::Sender<bool>,
}

impl ReplicaServer {
    pub(crate) fn new(id: UpstreamId, address: SocketAddr, settings: ReplicaSettings) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(ReplicaState::new(&id, settings)),
            id,
            address,
            lifecycle: watch::Sender::default(),
            is_address_open: watch::Sender::default(),
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

    pub(crate) fn lifecycle(&self) -> LifecycleState {
        *self.lifecycle.borrow()
    }

    pub(crate) fn update_lifecycle(&self, change: impl FnOnce(&mut LifecycleState)) {
        self.lifecycle.send_modify(change);
    }

    /// Waits until the replica is not frozen.
    pub(crate) async fn wait_until_thawed(&self) {
        self.wait_for_lifecycle(|lifecycle| !lifecycle.is_frozen)
            .await;
    }

    /// Waits until the replica is killed again after its first `kill_count` kills.
    pub(crate) async fn wait_until_killed(&self, kill_count: u64) {
        self.wait_for_lifecycle(|lifecycle| lifecycle.kill_count != kill_count)
            .await;
    }

    /// Counts a connection as open and returns its number and the earliest time of its first answer.
    /// Returns `None` if the connection limit is reached.
    pub(crate) fn admit_connection(&self, now: Instant) -> Option<(u64, Instant)> {
        let mut state = self.state();
        if state.open_connections >= state.settings.max_connections {
            state.counts.over_limit += 1;
            return None;
        }
        state.open_connections += 1;
        state.counts.opened += 1;
        state.counts.max_open = state.counts.max_open.max(u64::from(state.open_connections));
        let opening_time = Duration::from_millis(state.settings.opening_ms);
        Some((state.counts.opened, now + opening_time))
    }

    pub(crate) fn release_connection(&self) {
        let mut state = self.state();
        state.open_connections = state.open_connections.saturating_sub(1);
    }

    /// Replaces the settings and grants additional slots at once. Records the current reports, in case the endpoints
    /// report old data from now on.
    pub(crate) fn replace_settings(&self, settings: ReplicaSettings) {
        let mut state = self.state();
        state.settings = settings;
        state.grant_slots();
        state.record_reports(Instant::now());
    }

    /// Applies an action to the state or the lifecycle of the replica.
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
            } => self.start_drain(now + Duration::from_millis(announce_ms), refuse_ms),
            ReplicaAction::StopDrain => {
                self.state().drain_plan = None;
                self.update_lifecycle(|lifecycle| lifecycle.is_closed = false);
            }
            ReplicaAction::SilenceExisting { mode } => {
                let mut state = self.state();
                let first_unaffected_number = state.counts.opened + 1;
                state.silence_plan = Some(SilencePlan {
                    first_unaffected_number,
                    mode,
                });
            }
            ReplicaAction::Kill => self.update_lifecycle(|lifecycle| {
                lifecycle.kill_count += 1;
                lifecycle.is_dead = true;
            }),
            ReplicaAction::Revive => {
                self.state().drain_plan = None;
                self.update_lifecycle(|lifecycle| {
                    lifecycle.is_dead = false;
                    lifecycle.is_closed = false;
                });
            }
            ReplicaAction::Freeze => self.update_lifecycle(|lifecycle| lifecycle.is_frozen = true),
            ReplicaAction::Thaw => self.update_lifecycle(|lifecycle| lifecycle.is_frozen = false),
            ReplicaAction::Fault(fault) => self.state().faults.push_back(fault),
            ReplicaAction::ClearFaults => self.state().faults.clear(),
        }
    }

    /// Starts a drain. The replica closes when the drain ends, unless the drain was stopped or replaced before.
    fn start_drain(self: &Arc<Self>, refuse_at: Instant, refuse_ms: u64) {
        let close_at = refuse_at + Duration::from_millis(refuse_ms);
        let plan = DrainPlan {
            refuse_at,
            close_at,
        };
        self.state().drain_plan = Some(plan);
        let server = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(close_at).await;
            let is_current = |plan: DrainPlan| plan.close_at == close_at;
            if server.state().drain_plan.is_some_and(is_current) {
                server.update_lifecycle(|lifecycle| lifecycle.is_closed = true);
            }
        });
    }

    /// Accepts connections whenever the replica is listening, first on `listener`.
    pub(crate) async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut first_listener = Some(listener);
        loop {
            self.wait_for_lifecycle(|lifecycle| lifecycle.is_listening())
                .await;
            let listener = match first_listener.take() {
                Some(listener) => listener,
                None => match TcpListener::bind(self.address).await {
                    Ok(listener) => listener,
                    Err(_) => {
                        sleep(RETRY_PAUSE).await;
                        continue;
                    }
                },
            };
            self.accept_all(listener).await;
        }
    }

    /// Waits until the address is open or closed as the lifecycle requires and killed connections are closed.
    pub(crate) async fn wait_until_settled(&self) {
        let mut receiver = self.is_address_open.subscribe();
        // The sender is a field of `self`, so the channel cannot be closed.
        let _ = receiver
            .wait_for(|is_open| *is_open == self.lifecycle().is_listening())
            .await;
    }

    /// Accepts connections until the replica stops listening, then ends the open connections.
    async fn accept_all(self: &Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        self.is_address_open.send_replace(true);
        loop {
            tokio::select! {
                () = self.wait_for_lifecycle(|lifecycle| !lifecycle.is_listening()) => break,
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.spawn_connection(&mut connections, stream),
                    // Usually the process is out of file descriptors, and some will be closed soon.
                    Err(_) => sleep(RETRY_PAUSE).await,
                },
            }
        }
        drop(listener);
        if !self.lifecycle().is_dead {
            let all_ended = async { while connections.join_next().await.is_some() {} };
            let _ = timeout(CLOSE_GRACE_PERIOD, all_ended).await;
        }
        connections.shutdown().await;
        self.is_address_open.send_replace(false);
    }

    fn spawn_connection(self: &Arc<Self>, connections: &mut JoinSet<()>, stream: TcpStream) {
        let Some(guard) = ConnectionGuard::acquire(self, Instant::now()) else {
            return;
        };
        // Otherwise Nagle's algorithm delays small answers until the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        connections.spawn(Arc::clone(self).serve_connection(stream, guard));
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, guard: ConnectionGuard) {
        let io = TokioIo::new(FaultStream::new(stream, Arc::clone(&guard.injector)));
        let connection_service = Arc::new(ConnectionService::new(Arc::clone(&self), guard));
        let service = service_fn(move |request| {
            let connection_service = Arc::clone(&connection_service);
            async move { connection_service.handle(request).await }
        });
        let mut connection = pin!(http1::Builder::new().serve_connection(io, service));
        // Errors are ignored: the peer disconnected, or a command dropped the connection.
        tokio::select! {
            _ = connection.as_mut() => return,
            () = self.wait_for_lifecycle(|lifecycle| lifecycle.is_closed) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    async fn wait_for_lifecycle(&self, is_reached: impl FnMut(&LifecycleState) -> bool) {
        // The sender is a field of `self`, so the channel cannot be closed.
        let _ = self.lifecycle.subscribe().wait_for(is_reached).await;
    }
}
