use std::io::{self, Read};
use std::time::Instant;

/// Length of the parts in which a body is read.
const PART_LEN: usize = 16 * 1024;

/// Reads a body to its end.
///
/// # Errors
///
/// Fails if it cannot be read, is longer than `max_len` bytes (`FileTooLarge`), or has not ended at `deadline`. A sender in trouble may send
/// without end, and a timeout for each read alone does not end that.
pub fn read_bounded(mut body: impl Read, max_len: usize, deadline: Instant) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut part = [0; PART_LEN];
    loop {
        let part_len = body.read(&mut part)?;
        if part_len == 0 {
            return Ok(bytes);
        }
        if bytes.len() + part_len > max_len {
            return Err(io::Error::new(
                io::ErrorKind::FileTooLarge,
                format!("the body is longer than {max_len} bytes"),
            ));
        }
        if Instant::now() >= deadline {
            return Err(io::Error::other("the body has not ended in time"));
        }
        bytes.extend_from_slice(&part[..part_len]);
    }
}
