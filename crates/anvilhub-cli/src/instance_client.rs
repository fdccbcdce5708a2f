use std::net::SocketAddr;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::{Body, Method, Request, StatusCode, Uri};
use serde::de::DeserializeOwned;

use crate::command_error::{CommandError, Result};

/// Maximum time for an answer beyond the time that the request itself may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client of an instance or of the platform.
pub(crate) struct InstanceClient {
    base_url: String,
    client: Client,
}

impl InstanceClient {
    /// Creates a client for `address`, which is `IP:PORT` with or without `http://`, whose requests may take up to
    /// `max_request_time`.
    pub(crate) fn new(address: &str, max_request_time: Duration) -> Result<Self> {
        let host = address.trim_start_matches("http://").trim_end_matches('/');
        let host: SocketAddr = host.parse().map_err(|_| {
            CommandError::invalid_arguments(format!("`{address}` is not http://IP:PORT"))
        })?;
        Ok(Self {
            base_url: format!("http://{host}"),
            client: Client::new().with_global_timeout(max_request_time + ANSWER_TIMEOUT),
        })
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer in time, its status is not 200, or it is not the expected document.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let (status, body) = self.send(Method::GET, path, String::new())?;
        match status {
            StatusCode::OK => self.parse_document(path, &body),
            other => {
                Err(self.unreachable_error(path, format!("HTTP status {other}: {}", body.trim())))
            }
        }
    }

    /// Posts a body and returns the status and the JSON document of the answer, with any status.
    pub(crate) fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: String,
    ) -> Result<(StatusCode, T)> {
        let (status, body) = self.send(Method::POST, path, body)?;
        Ok((status, self.parse_document(path, &body)?))
    }

    /// Posts without a body and returns the status.
    pub(crate) fn post_empty(&self, path: &str) -> Result<StatusCode> {
        Ok(self.send(Method::POST, path, String::new())?.0)
    }

    /// Sends a request. Returns the status and the body of the response.
    fn send(&self, method: Method, path: &str, body: String) -> Result<(StatusCode, String)> {
        let uri: Uri = format!("{}{path}", self.base_url).parse().map_err(|_| {
            CommandError::invalid_arguments(format!("`{path}` cannot be requested"))
        })?;
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Body::from(body))
            .expect("a checked request head is valid");
        let response = self.client.request(request);
        let response = response.map_err(|error| self.unreachable_error(path, error.to_string()))?;
        let status = response.status();
        let body = response.into_body().to_string();
        Ok((
            status,
            body.map_err(|error| self.unreachable_error(path, error.to_string()))?,
        ))
    }

    fn parse_document<T: DeserializeOwned>(&self, path: &str, body: &str) -> Result<T> {
        serde_json::from_str(body).map_err(|error| self.unreachable_error(path, error.to_string()))
    }

    fn unreachable_error(&self, path: &str, reason: String) -> CommandError {
        CommandError::Unreachable {
            address: format!("{}{path}", self.base_url),
            reason,
        }
    }
}
