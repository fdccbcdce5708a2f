use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use oxhttp::Client;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest wait for an answer. It ends a call that hangs; no test depends on its length.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP call on a connection of its own.
#[derive(Clone, Debug)]
pub struct HttpCall {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpCall {
    /// Prepares calls to `address`.
    pub fn to(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: CALL_TIMEOUT,
        }
    }

    /// The same calls with another longest wait.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Sends a GET request, and gives the status and the body.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer arrives.
    pub fn get(&self, path: &str) -> Result<(u16, Vec<u8>)> {
        self.send(Method::GET, path, Vec::new())
    }

    /// Sends a POST request with a JSON body, and gives the status and the body.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer arrives.
    pub fn post(&self, path: &str, body: &impl Serialize) -> Result<(u16, Vec<u8>)> {
        self.send(Method::POST, path, serde_json::to_vec(body)?)
    }

    /// Reads a JSON document.
    ///
    /// # Errors
    ///
    /// Fails when the status is not 200 or the body is no such document.
    pub fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let (status, body) = self.get(path)?;
        ensure!(status == 200, "{path} answered {status}");
        serde_json::from_slice(&body).wrap_err_with(|| format!("{path} sent a bad document"))
    }

    /// Sends a command to a stand-in's `/control`.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in refuses it.
    pub fn control(&self, command: &impl Serialize) -> Result<()> {
        let (status, body) = self.post("/control", command)?;
        let text = String::from_utf8_lossy(&body);
        ensure!(status == 200, "the stand-in refused a command: {text}");
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
