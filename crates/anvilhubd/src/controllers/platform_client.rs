use std::net::SocketAddr;
use std::time::Duration;

use anvilhub_coord::border::platform::{ConfigValue, InstanceList};
use anvilhub_coord::ids::PlatformRevision;
use eyre::{Result, WrapErr, ensure};
use oxhttp::Client;
use oxhttp::model::{Body, Request, StatusCode};
use serde::de::DeserializeOwned;

/// Time that a call may take beyond its waiting time.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the platform. Each call, a waiting watch included, counts against its call limit.
pub(crate) struct PlatformClient {
    address: SocketAddr,
}

impl PlatformClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Waits for a sheet with a higher revision than `after` for at most `wait`; `None` when there is none.
    pub(crate) fn watch_sheet(
        &self,
        after: Option<PlatformRevision>,
        wait: Duration,
    ) -> Result<Option<ConfigValue>> {
        self.watch("config/sheet", after, wait)
    }

    /// Waits for an instance list with a higher revision than `after` for at most `wait`.
    pub(crate) fn watch_instances(
        &self,
        after: Option<PlatformRevision>,
        wait: Duration,
    ) -> Result<Option<InstanceList>> {
        self.watch("instances", after, wait)
    }

    fn watch<T: DeserializeOwned>(
        &self,
        path: &str,
        after: Option<PlatformRevision>,
        wait: Duration,
    ) -> Result<Option<T>> {
        let watch = after
            .map(|revision| format!("?after={revision}&wait_ms={}", wait.as_millis()))
            .unwrap_or_default();
        let uri = format!("http://{}/{path}{watch}", self.address);
        let request = Request::builder().uri(&uri).body(Body::empty())?;
        let client = Client::new().with_global_timeout(wait + CALL_TIMEOUT);
        let response = client
            .request(request)
            .wrap_err_with(|| format!("cannot read {uri}"))?;
        let status = response.status();
        if status == StatusCode::NOT_MODIFIED || status == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        ensure!(status == StatusCode::OK, "{uri} answered {status}");
        let body = response
            .into_body()
            .to_vec()
            .wrap_err_with(|| format!("cannot read {uri}"))?;
        serde_json::from_slice(&body)
            .map(Some)
            .wrap_err_with(|| format!("{uri} sent a malformed document"))
    }
}
