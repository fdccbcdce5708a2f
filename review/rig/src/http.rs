//! A small reader and writer of HTTP/1.1 messages, for the stand-ins.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message; `None` if the connection ends before its first byte.
    pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut start = String::new();
        if reader.read_line(&mut start)? == 0 {
            return Ok(None);
        }
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::Error::other("the head ended early"));
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self {
            start: start.trim_end().to_owned(),
            headers,
            body: Vec::new(),
        };
        if message
            .header("transfer-encoding")
            .is_some_and(|encoding| encoding.contains("chunked"))
        {
            message.body = read_chunks(reader)?;
        } else if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().map_err(io::Error::other)?;
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("/")
    }

    /// Returns the status of a response; 0 if the bytes are no response.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Builds a response with a length.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("content-length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Undoes percent encoding.
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3);
        match (bytes[index], hex.map(|hex| u8::from_str_radix(hex, 16))) {
            (b'%', Some(Ok(byte))) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
