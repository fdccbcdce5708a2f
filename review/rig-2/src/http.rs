//! Messages of HTTP/1.1, as far as the stand-ins need them.

use std::io::{self, BufRead};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { first_line: line.trim_end().to_owned(), ..Message::default() };
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a whole message with a length or in chunks; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some_and(|text| text.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            line.clear();
            reader.read_line(&mut line)?;
            if size == 0 {
                break;
            }
        }
    }
    Ok(Some(message))
}
