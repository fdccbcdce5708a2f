use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use eyre::{Result, WrapErr};
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use oxhttp::{ListeningServer, Server};
use serde::Serialize;
use serde_json::json;

use super::proxied_connection::{CopyDirection, ProxiedConnection};
use super::{ProxyCommand, ProxyMode};
use crate::standin::http_reply::{error_reply, json_reply, read_json};

/// Timeout for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of open connections; each uses two threads.
const MAX_CONNECTIONS: usize = 512;

/// Forwards TCP connections from a listening address to a target, with injected faults.
#[derive(Debug)]
pub struct ProxyServer {
    target: SocketAddr,
    state: Mutex<ProxyState>,
}

#[derive(Debug, Default)]
struct ProxyState {
    mode: ProxyMode,
    delay: Duration,
    connections: HashMap<u64, ProxiedConnection>,
    counts: ConnectionCounts,
}

/// Body of `GET /links`: connections accepted and refused since the start, and those open now.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct ConnectionCounts {
    accepted: u64,
    refused: u64,
    open: usize,
}

impl ProxyServer {
    /// Creates a proxy to `target`. It accepts nothing before `listen`.
    pub fn new(target: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            target,
            state: Mutex::default(),
        })
    }

    /// Accepts connections on `address` in a new thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub fn listen(self: &Arc<Self>, address: SocketAddr) -> Result<thread::JoinHandle<()>> {
        let listener = TcpListener::bind(address)
            .wrap_err_with(|| format!("cannot listen on {address}; choose a free port"))?;
        let server = Arc::clone(self);
        Ok(thread::spawn(move || server.accept_all(&listener)))
    }

    /// Serves control requests on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub fn listen_control(self: &Arc<Self>, address: SocketAddr) -> Result<ListeningServer> {
        let server = Arc::clone(self);
        Server::new(move |request| server.handle(request))
            .bind(address)
            .spawn()
            .wrap_err_with(|| format!("cannot listen on {address}; choose a free port"))
    }

    /// Applies the fields that are present in `command`.
    pub fn apply(&self, command: ProxyCommand) {
        let mut state = self.state();
        if let Some(millis) = command.delay_ms {
            state.delay = Duration::from_millis(millis);
        }
        let Some(mode) = command.mode else {
            return;
        };
        state.mode = mode;
        match mode {
            ProxyMode::Pass
            | ProxyMode::Refuse
            | ProxyMode::HoldToTarget
            | ProxyMode::HoldToClient
            | ProxyMode::Hold => {}
            ProxyMode::SilentExisting | ProxyMode::Silent => {
                state
                    .connections
                    .values()
                    .for_each(ProxiedConnection::silence);
            }
            ProxyMode::CloseExisting | ProxyMode::Reset => {
                state
                    .connections
                    .values()
                    .for_each(ProxiedConnection::close);
            }
        }
    }

    pub(crate) fn delay(&self) -> Duration {
        self.state().delay
    }

    /// Returns whether bytes in this direction are held.
    pub(crate) fn is_held(&self, direction: CopyDirection) -> bool {
        match self.state().mode {
            ProxyMode::Hold => true,
            ProxyMode::HoldToTarget => direction == CopyDirection::ToTarget,
            ProxyMode::HoldToClient => direction == CopyDirection::ToClient,
            _ => false,
        }
    }

    fn accept_all(self: &Arc<Self>, listener: &TcpListener) {
        for client in listener.incoming().flatten() {
            let Some((number, mode)) = self.admit_connection() else {
                continue;
            };
            let server = Arc::clone(self);
            thread::spawn(move || server.serve(number, mode, client));
        }
    }

    /// Counts a new connection. Returns its number and initial mode, or `None` if it is refused.
    fn admit_connection(&self) -> Option<(u64, ProxyMode)> {
        let mut state = self.state();
        let is_refused = matches!(state.mode, ProxyMode::Refuse | ProxyMode::Reset);
        if is_refused || state.connections.len() >= MAX_CONNECTIONS {
            state.counts.refused += 1;
            return None;
        }
        state.counts.accepted += 1;
        Some((state.counts.accepted, state.mode))
    }

    fn serve(&self, number: u64, mode: ProxyMode, client: TcpStream) {
        let connected = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT);
        // If the target is unreachable, the client sees its connection closed.
        let Ok(connection) = connected.and_then(|target| ProxiedConnection::new(client, target))
        else {
            return;
        };
        if mode == ProxyMode::Silent {
            connection.silence();
        }
        self.state().connections.insert(number, connection.clone());
        connection.forward(self);
        self.state().connections.remove(&number);
    }

    fn handle(&self, request: &mut Request<Body>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/control") => match read_json(request) {
                Ok(command) => {
                    self.apply(command);
                    json_reply(StatusCode::OK, &json!({ "changed": 1 }))
                }
                Err(error) => error_reply(StatusCode::BAD_REQUEST, format!("{error:#}")),
            },
            (&Method::GET, "/links") => {
                let state = self.state();
                let open = state.connections.len();
                let counts = ConnectionCounts {
                    open,
                    ..state.counts
                };
                json_reply(StatusCode::OK, &counts)
            }
            (method, _) => {
                let message = format!("the proxy does not serve {method} {path}; see --help");
                error_reply(StatusCode::NOT_FOUND, message)
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
