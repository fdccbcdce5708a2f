use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use oxhttp::Client;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Default request timeout. It only ends requests that hang; no test depends on its length.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP client that opens a new connection for each request.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client for `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Returns the client with another request timeout.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Sends a GET request and returns the status and the body, whatever the status is.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives within the timeout.
    pub fn get(&self, path: &str) -> Result<(u16, Vec<u8>)> {
        self.send(Method::GET, path, Vec::new())
    }

    /// Sends a POST request with a JSON body and returns the status and the body, whatever the status is.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives within the timeout.
    pub fn post(&self, path: &str, body: &impl Serialize) -> Result<(u16, Vec<u8>)> {
        self.send(Method::POST, path, serde_json::to_vec(body)?)
    }

    /// Sends a GET request and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the status is not 200 or the body cannot be parsed as `T`.
    pub fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let (status, body) = self.get(path)?;
        ensure!(
            status == 200,
            "GET {path} was answered with status {status} instead of 200"
        );
        serde_json::from_slice(&body)
            .wrap_err_with(|| format!("the response of {path} cannot be parsed"))
    }

    /// Posts a command to a stand-in's `/control`.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in rejects the command.
    pub fn send_command(&self, command: &impl Serialize) -> Result<()> {
        let (status, body) = self.post("/control", command)?;
        let text = String::from_utf8_lossy(&body);
        ensure!(
            status == 200,
            "the stand-in rejected a command with status {status}: {text}"
        );
        Ok(())
    }

    fn send(&self, method: Method, path: &str, body: Vec<u8>) -> Result<(u16, Vec<u8>)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Body::from(body))?;
        let client = Client::new().with_global_timeout(self.timeout);
        let response = client.request(request)?;
        let status = response.status().as_u16();
        Ok((status, response.into_body().to_vec()?))
    }
}
