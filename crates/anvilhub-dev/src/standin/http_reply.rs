use std::io::Read;

use eyre::{Result, WrapErr};
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Request, Response, StatusCode, Uri};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a control body in bytes. A sheet of 1 MB can grow sixfold when it is escaped in JSON.
const MAX_BODY_BYTES: u64 = 8 << 20;

/// Builds a JSON response.
pub(crate) fn json_reply(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .unwrap_or_else(|_| Response::new(Body::empty()))
}

/// Builds a JSON response with an error message.
pub(crate) fn error_reply(status: StatusCode, message: impl ToString) -> Response<Body> {
    json_reply(status, &serde_json::json!({ "error": message.to_string() }))
}

/// Reads and parses a JSON body.
///
/// # Errors
///
/// Returns an error if the body is incomplete, is longer than the limit or cannot be parsed as `T`.
pub(crate) fn read_json<T: DeserializeOwned>(request: &mut Request<Body>) -> Result<T> {
    let mut bytes = Vec::new();
    request
        .body_mut()
        .take(MAX_BODY_BYTES)
        .read_to_end(&mut bytes)?;
    serde_json::from_slice(&bytes).wrap_err("invalid control body; see --help")
}

/// Returns the numeric value of the query parameter `name`, or `None` if it is absent or not a number.
pub(crate) fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}
