use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anvilhub_coord::border::platform::{ConfigValue, InstanceEntry, InstanceList};
use anvilhub_coord::ids::{ByteSize, PlatformRevision};
use eyre::{Result, WrapErr, ensure};
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use oxhttp::{ListeningServer, Server};
use serde::Serialize;

use super::call_limiter::CallLimiter;
use super::watched_value::WatchedValue;
use super::{OutageMode, PlatformCommand};
use crate::standin::http_reply::{error_reply, json_reply, query_number, read_json};

/// Maximum size of a value of the configuration service.
const MAX_VALUE_BYTES: ByteSize = ByteSize(1 << 20);
/// Maximum time that a watch waits for a change.
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);
/// Maximum time that a call hangs while the platform is down. Limits the number of waiting threads.
const MAX_HANG_TIME: Duration = Duration::from_secs(300);

/// Serves the configuration service and the instance list over HTTP.
#[derive(Debug)]
pub struct PlatformServer {
    sheet: WatchedValue<String>,
    instances: WatchedValue<Vec<InstanceEntry>>,
    limiter: Mutex<CallLimiter>,
    outage_mode: Mutex<OutageMode>,
    outage_mode_changed: Condvar,
}

impl PlatformServer {
    /// Creates a platform with a sheet and an instance list, both at revision 1.
    ///
    /// # Errors
    ///
    /// Returns an error if the sheet is larger than 1 MiB.
    pub fn new(sheet: String, instances: Vec<InstanceEntry>) -> Result<Arc<Self>> {
        check_size(&sheet)?;
        Ok(Arc::new(Self {
            sheet: WatchedValue::new(sheet),
            instances: WatchedValue::new(instances),
            limiter: Mutex::new(CallLimiter::new(Instant::now())),
            outage_mode: Mutex::default(),
            outage_mode_changed: Condvar::new(),
        }))
    }

    /// Serves readers and control requests on `address`, with one thread per connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub fn listen(self: &Arc<Self>, address: SocketAddr) -> Result<ListeningServer> {
        let server = Arc::clone(self);
        Server::new(move |request| server.handle(request))
            .bind(address)
            .spawn()
            .wrap_err_with(|| format!("cannot listen on {address}; choose a free port"))
    }

    /// Applies the fields that are present in `command`.
    ///
    /// # Errors
    ///
    /// Returns an error and changes nothing if the sheet to publish is larger than 1 MiB.
    pub fn apply(&self, command: PlatformCommand) -> Result<()> {
        if let Some(sheet) = command.publish_sheet {
            check_size(&sheet)?;
            self.sheet.publish(sheet);
        }
        if let Some(instances) = command.publish_instances {
            self.instances.publish(instances);
        }
        if let Some(revision) = command.serve_sheet_revision {
            self.sheet.pin(revision);
        }
        if let Some(revision) = command.serve_instances_revision {
            self.instances.pin(revision);
        }
        if let Some(millis) = command.instances_lag_ms {
            self.instances.set_lag(Duration::from_millis(millis));
        }
        if let Some(rate) = command.call_rate {
            self.limiter().set_rate(rate);
        }
        if let Some(mode) = command.down {
            *self
                .outage_mode
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = mode;
            self.outage_mode_changed.notify_all();
        }
        Ok(())
    }

    fn handle(&self, request: &mut Request<Body>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/control") => self.handle_control(request),
            (&Method::GET, "/calls") => json_reply(StatusCode::OK, &self.limiter().counts()),
            (&Method::GET, "/config/sheet" | "/instances") => self.handle_read(request, &path),
            (method, _) => {
                let message = format!("the platform does not serve {method} {path}; see --help");
                error_reply(StatusCode::NOT_FOUND, message)
            }
        }
    }

    fn handle_control(&self, request: &mut Request<Body>) -> Response<Body> {
        let command = match read_json(request) {
            Ok(command) => command,
            Err(error) => return error_reply(StatusCode::BAD_REQUEST, format!("{error:#}")),
        };
        match self.apply(command) {
            Ok(()) => json_reply(StatusCode::OK, &serde_json::json!({ "changed": 1 })),
            Err(error) => error_reply(StatusCode::PAYLOAD_TOO_LARGE, error),
        }
    }

    fn handle_read(&self, request: &Request<Body>, path: &str) -> Response<Body> {
        if !self.limiter().admit(Instant::now()) {
            return error_reply(
                StatusCode::TOO_MANY_REQUESTS,
                "the limit of calls per second is exceeded; retry later or raise call_rate",
            );
        }
        if self.wait_while_hung() == OutageMode::Refuse {
            return outage_reply();
        }
        let after = query_number(request.uri(), "after").map(PlatformRevision);
        let wait_ms = query_number(request.uri(), "wait_ms").unwrap_or_default();
        let wait = Duration::from_millis(wait_ms).min(MAX_WATCH_TIME);
        match path {
            "/config/sheet" => {
                let (revision, value) = read_value(&self.sheet, after, wait);
                self.value_reply(revision, after, &ConfigValue { revision, value })
            }
            _ => {
                let (revision, instances) = read_value(&self.instances, after, wait);
                let list = InstanceList {
                    revision,
                    instances,
                };
                self.value_reply(revision, after, &list)
            }
        }
    }

    /// Builds the response to a read, or an error if the platform went down while the call waited.
    ///
    /// The response to a watch without a change has status 304. A watch for a later revision than the visible one
    /// gets the older value.
    fn value_reply(
        &self,
        revision: PlatformRevision,
        after: Option<PlatformRevision>,
        value: &impl Serialize,
    ) -> Response<Body> {
        match self.wait_while_hung() {
            OutageMode::Refuse => outage_reply(),
            OutageMode::None | OutageMode::Hang if after == Some(revision) => {
                let mut unchanged = Response::new(Body::empty());
                *unchanged.status_mut() = StatusCode::NOT_MODIFIED;
                unchanged
            }
            OutageMode::None | OutageMode::Hang => json_reply(StatusCode::OK, value),
        }
    }

    /// Waits while calls hang and returns the mode after that.
    fn wait_while_hung(&self) -> OutageMode {
        let mode = self
            .outage_mode
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let result = self
            .outage_mode_changed
            .wait_timeout_while(mode, MAX_HANG_TIME, |mode| *mode == OutageMode::Hang);
        *result.unwrap_or_else(PoisonError::into_inner).0
    }

    fn limiter(&self) -> MutexGuard<'_, CallLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Builds the response to a call while the platform is down.
fn outage_reply() -> Response<Body> {
    error_reply(
        StatusCode::SERVICE_UNAVAILABLE,
        "the platform is down as commanded; set `down` to `no` to end the outage",
    )
}

/// Returns the visible value, or waits for a revision above `after` if there is one.
fn read_value<T: Clone>(
    value: &WatchedValue<T>,
    after: Option<PlatformRevision>,
    wait: Duration,
) -> (PlatformRevision, T) {
    match after {
        Some(after) => value.wait_after(after, wait),
        None => value.read(),
    }
}

fn check_size(sheet: &str) -> Result<()> {
    ensure!(
        sheet.len() as u64 <= MAX_VALUE_BYTES.get(),
        "the value has {} bytes and the limit is {MAX_VALUE_BYTES}; publish a smaller one",
        sheet.len()
    );
    Ok(())
}
