use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anvilhub_coord::border::platform::{ConfigValue, InstanceList};
use anvilhub_coord::ids::PlatformRevision;
use eyre::{Result, WrapErr, ensure};
use oxhttp::Client;
use oxhttp::model::{Body, Request, StatusCode};
use serde::de::DeserializeOwned;

use crate::read_bounded;

/// Maximum time of a call in addition to the time for which its watch waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum length of an answer's body in bytes. A sheet has 1 MB at most, and a list of 15,000 instances about 3 MB.
const MAX_BODY_LEN: usize = 16 * 1024 * 1024;

/// HTTP client of the platform. Every call, including a watch that waits, counts towards the platform's call limit.
pub(crate) struct PlatformClient {
    address: SocketAddr,
}

impl PlatformClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Waits up to `max_wait` for a sheet with a higher revision than `known_revision`. Returns `None` when there is
    /// none.
    ///
    /// Reads the current sheet without waiting when `known_revision` is `None`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time, or not with a valid document.
    pub(crate) fn watch_sheet(
        &self,
        known_revision: Option<PlatformRevision>,
        max_wait: Duration,
    ) -> Result<Option<ConfigValue>> {
        self.watch("config/sheet", known_revision, max_wait)
    }

    /// Waits up to `max_wait` for an instance list with a higher revision than `known_revision`. Returns `None` when
    /// there is none.
    ///
    /// Reads the current list without waiting when `known_revision` is `None`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time, or not with a valid document.
    pub(crate) fn watch_instances(
        &self,
        known_revision: Option<PlatformRevision>,
        max_wait: Duration,
    ) -> Result<Option<InstanceList>> {
        self.watch("instances", known_revision, max_wait)
    }

    fn watch<T: DeserializeOwned>(
        &self,
        path: &str,
        known_revision: Option<PlatformRevision>,
        max_wait: Duration,
    ) -> Result<Option<T>> {
        let query = known_revision
            .map(|revision| format!("?after={revision}&wait_ms={}", max_wait.as_millis()))
            .unwrap_or_default();
        let uri = format!("http://{}/{path}{query}", self.address);
        let request = Request::builder().uri(&uri).body(Body::empty())?;
        let timeout = max_wait + CALL_TIMEOUT;
        let deadline = Instant::now() + timeout;
        let client = Client::new().with_global_timeout(timeout);
        let response = client
            .request(request)
            .wrap_err_with(|| format!("cannot read {uri}"))?;
        let status = response.status();
        if status == StatusCode::NOT_MODIFIED || status == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        ensure!(
            status == StatusCode::OK,
            "{uri} answered {status}, not 200, 204 or 304"
        );
        let body = read_bounded(response.into_body(), MAX_BODY_LEN, deadline)
            .wrap_err_with(|| format!("cannot read {uri}"))?;
        serde_json::from_slice(&body)
            .map(Some)
            .wrap_err_with(|| format!("{uri} sent a malformed document"))
    }
}
