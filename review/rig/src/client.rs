//! Requesters, as PROTOCOL.md describes them.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Message;

/// How an attempt of a requester ended.
#[derive(Clone, Debug)]
pub enum End {
    /// The whole answer.
    Answered(Message),
    /// The connection was refused or ended without a whole answer.
    Closed(String),
    /// The requester left after the time that it was told to wait.
    Left,
}

impl End {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answered(answer) => answer.status(),
            Self::Closed(_) | Self::Left => 0,
        }
    }

    pub fn describe(&self) -> String {
        match self {
            Self::Answered(answer) => answer.status().to_string(),
            Self::Closed(reason) => format!("closed ({reason})"),
            Self::Left => "left".to_owned(),
        }
    }
}

/// What a requester sends.
#[derive(Clone)]
pub struct Request {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub id: String,
    /// Time that the requester states.
    pub deadline: Duration,
    /// Time after which the requester closes the connection.
    pub leaves_after: Duration,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection and waits for the answer.
pub fn send(front: SocketAddr, request: &Request) -> End {
    let started = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return End::Closed("not connected".to_owned());
    };
    let _ = stream.set_nodelay(true);
    let mut bytes = format!(
        "{} {} HTTP/1.1\r\nhost: {}\r\nanvilhub-request-id: {}\r\nanvilhub-deadline-ms: {}\r\ncontent-length: {}\r\n\r\n",
        request.method,
        request.path,
        request.host,
        request.id,
        request.deadline.as_millis(),
        request.body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(&request.body);
    if let Err(error) = stream.write_all(&bytes) {
        return End::Closed(error.to_string());
    }
    let left = request.leaves_after.saturating_sub(started.elapsed());
    let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    match Message::read(&mut BufReader::new(stream)) {
        Ok(Some(answer)) => End::Answered(answer),
        Ok(None) => End::Closed("no answer".to_owned()),
        Err(error) => match error.kind() {
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => End::Left,
            _ => End::Closed(error.to_string()),
        },
    }
}

/// Returns the status of the answer to a GET request; `None` if there is none.
pub fn get(address: SocketAddr, path: &str, limit: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    let answer = Message::read(&mut BufReader::new(stream)).ok()??;
    Some(answer.status())
}
