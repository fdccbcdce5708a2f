use std::net::SocketAddr;

use anvilhub_coord::border::upstream::{SubAnswer, SubRefusal, SubRequest};
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::mutation;
use hyper::StatusCode;
use serde::de::DeserializeOwned;

use super::{PoolError, Result};

/// Parses the answer to `request` and checks that it belongs to this sub-request.
///
/// # Errors
///
/// Fails when the upstream refused the sub-request, or the answer is malformed, belongs to another sub-request,
/// or covers keys that were not requested.
pub(super) fn read_answer(
    address: SocketAddr,
    request: &SubRequest,
    status: StatusCode,
    body: &[u8],
) -> Result<SubAnswer> {
    match status {
        StatusCode::OK => parse_answer(address, request, body),
        StatusCode::SERVICE_UNAVAILABLE => Err(parse_refusal(address, request, body)),
        other => Err(bad_answer(address, format!("HTTP status {other}"))),
    }
}

fn parse_answer(address: SocketAddr, request: &SubRequest, body: &[u8]) -> Result<SubAnswer> {
    let mut answer: SubAnswer = parse(address, body)?;
    if answer.held.is_empty() {
        // The list is optional, and the answer shows that its own snapshot is held.
        answer.held.push(answer.snapshot);
    }
    let is_other_request = answer.request_id != request.request_id;
    if is_other_request && !mutation::is_active("crossed_answer_accepted") {
        let reason = format!("it answers request {}", answer.request_id);
        return Err(bad_answer(address, reason));
    }
    let requested = KeyRange::new(request.start, request.end);
    let answered = KeyRange::new(answer.start, answer.end);
    let is_within = answered.start <= answered.end && requested.covers(answered);
    match is_within || mutation::is_active("any_range_counts") {
        true => Ok(answer),
        false => Err(bad_answer(
            address,
            format!("it covers {answered}, but {requested} was requested"),
        )),
    }
}

fn parse_refusal(address: SocketAddr, request: &SubRequest, body: &[u8]) -> PoolError {
    match parse::<SubRefusal>(address, body) {
        Ok(refusal) if refusal.request_id == request.request_id => PoolError::Refused { refusal },
        Ok(refusal) => bad_answer(
            address,
            format!("it refuses request {}", refusal.request_id),
        ),
        Err(error) => error,
    }
}

/// Parses a JSON document from the upstream at `address`.
pub(super) fn parse<T: DeserializeOwned>(address: SocketAddr, body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| bad_answer(address, error.to_string()))
}

pub(super) fn bad_answer(address: SocketAddr, reason: String) -> PoolError {
    PoolError::BadAnswer { address, reason }
}
