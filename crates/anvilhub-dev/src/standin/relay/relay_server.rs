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

use super::relay_link::RelayLink;
use super::{RelayCommand, RelayMode};
use crate::standin::http_reply::{error_reply, json_reply, read_json};

/// Longest wait for a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections at once; each takes two threads.
const MAX_LINKS: usize = 512;

/// A relay between a listening address and a target.
#[derive(Debug)]
pub struct RelayServer {
    target: SocketAddr,
    state: Mutex<RelayState>,
}

#[derive(Debug, Default)]
struct RelayState {
    mode: RelayMode,
    delay: Duration,
    links: HashMap<u64, RelayLink>,
    counts: LinkCounts,
}

/// Connections since the start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct LinkCounts {
    accepted: u64,
    refused: u64,
    open: usize,
}

impl RelayServer {
    /// Prepares a relay to `target`.
    pub fn new(target: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            target,
            state: Mutex::default(),
        })
    }

    /// Listens on `address`, with two threads for each connection.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub fn listen(self: &Arc<Self>, address: SocketAddr) -> Result<thread::JoinHandle<()>> {
        let listener = TcpListener::bind(address)
            .wrap_err_with(|| format!("cannot listen on {address}; choose a free port"))?;
        let server = Arc::clone(self);
        Ok(thread::spawn(move || server.accept_all(&listener)))
    }

    /// Listens for control requests on `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub fn listen_control(self: &Arc<Self>, address: SocketAddr) -> Result<ListeningServer> {
        let server = Arc::clone(self);
        Server::new(move |request| server.handle(request))
            .bind(address)
            .spawn()
            .wrap_err_with(|| format!("cannot listen on {address}; choose a free port"))
    }

    /// Applies a command.
    pub fn apply(&self, command: RelayCommand) {
        let mut state = self.state();
        if let Some(millis) = command.delay_ms {
            state.delay = Duration::from_millis(millis);
        }
        let Some(mode) = command.mode else {
            return;
        };
        state.mode = mode;
        match mode {
            RelayMode::Pass
            | RelayMode::Refuse
            | RelayMode::HoldForth
            | RelayMode::HoldBack
            | RelayMode::Hold => {}
            RelayMode::SilentExisting | RelayMode::Silent => {
                state.links.values().for_each(RelayLink::silence);
            }
            RelayMode::Cut | RelayMode::Reset => {
                state.links.values().for_each(RelayLink::close);
            }
        }
    }

    pub(crate) fn delay(&self) -> Duration {
        self.state().delay
    }

    /// Says whether bytes have to wait on their way to the target, or back from it.
    pub(crate) fn holds(&self, is_forth: bool) -> bool {
        match self.state().mode {
            RelayMode::Hold => true,
            RelayMode::HoldForth => is_forth,
            RelayMode::HoldBack => !is_forth,
            _ => false,
        }
    }

    fn accept_all(self: &Arc<Self>, listener: &TcpListener) {
        for client in listener.incoming().flatten() {
            let Some((number, mode)) = self.count_opening() else {
                continue;
            };
            let server = Arc::clone(self);
            thread::spawn(move || server.serve(number, mode, client));
        }
    }

    /// Counts a connection, and gives its number and the mode that it begins in unless it is refused.
    fn count_opening(&self) -> Option<(u64, RelayMode)> {
        let mut state = self.state();
        let is_refused = matches!(state.mode, RelayMode::Refuse | RelayMode::Reset);
        if is_refused || state.links.len() >= MAX_LINKS {
            state.counts.refused += 1;
            return None;
        }
        state.counts.accepted += 1;
        Some((state.counts.accepted, state.mode))
    }

    fn serve(&self, number: u64, mode: RelayMode, client: TcpStream) {
        let connected = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT);
        // A target that refuses is shown to the client by closing its connection.
        let Ok(link) = connected.and_then(|target| RelayLink::new(client, target)) else {
            return;
        };
        if mode == RelayMode::Silent {
            link.silence();
        }
        self.state().links.insert(number, link.clone());
        link.pass(self);
        self.state().links.remove(&number);
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
                let open = state.links.len();
                let counts = LinkCounts {
                    open,
                    ..state.counts
                };
                json_reply(StatusCode::OK, &counts)
            }
            _ => error_reply(StatusCode::NOT_FOUND, "no such control endpoint"),
        }
    }

    fn state(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
