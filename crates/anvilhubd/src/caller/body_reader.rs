use std::time::Duration;

use anvilhub_coord::ids::ByteSize;
use anvilhub_coord::memory::ClientPhase;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use metrics::counter;
use tokio::time::timeout;

use crate::memory::{ClientAccount, HeldBytes, MemoryKind, MemoryReservation};

/// Memory that a connection takes while it reads a body, besides the body: a second read buffer, since the head's parts
/// keep the first one.
const READING_SIZE: usize = 12 * 1024;
/// Maximum time for reading the rest of a body that is too large.
const MAX_DISCARD_TIME: Duration = Duration::from_millis(250);
/// Minimum size of a body's buffer.
const MIN_BUFFER_SIZE: usize = 1024;

/// Reads the body of a request into one buffer, which counts towards the client's account.
pub(crate) struct BodyReader<'a> {
    pub(crate) account: &'a ClientAccount,
    pub(crate) max_size: ByteSize,
    pub(crate) timeout: Duration,
}

/// Why a body was not read. Nothing of its request has been sent anywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is larger than allowed.
    Oversized,
    /// It did not arrive whole, for the given reason.
    Incomplete(String),
    /// It did not arrive in time.
    Late,
    /// There is no memory for it.
    NoMemory,
}

impl BodyReader<'_> {
    /// Reads `body`. The bytes returned count towards the account until their last reference is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, late or incomplete, or if there is no memory for it.
    pub(crate) async fn read(self, body: Incoming) -> Result<Bytes, BodyError> {
        let result = self.read_in_time(body).await;
        let reason = match &result {
            Ok(_) => return result,
            Err(BodyError::Oversized) => "oversized",
            Err(BodyError::Incomplete(_)) => "incomplete",
            Err(BodyError::Late) => "late",
            Err(BodyError::NoMemory) => "no_memory",
        };
        counter!("anvilhub_bodies_refused_total", "reason" => reason).increment(1);
        result
    }

    async fn read_in_time(&self, body: Incoming) -> Result<Bytes, BodyError> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        if !self.account.enter(ClientPhase::Body) {
            return Err(BodyError::NoMemory);
        }
        let read = timeout(self.timeout, self.collect(body));
        let read = tokio::select! {
            biased;
            () = self.account.evicted() => Err(BodyError::NoMemory),
            read = read => read.unwrap_or(Err(BodyError::Late)),
        };
        // From here on the connection is no longer closed to free memory.
        match self.account.enter(ClientPhase::Served) {
            true => read,
            false => Err(BodyError::NoMemory),
        }
    }

    async fn collect(&self, mut body: Incoming) -> Result<Bytes, BodyError> {
        let max_size = usize::try_from(self.max_size.get()).unwrap_or(usize::MAX);
        if body.size_hint().lower() > self.max_size.get() {
            self.discard(&mut body).await;
            return Err(BodyError::Oversized);
        }
        let expected_size = body.size_hint().exact();
        let expected_size = expected_size.and_then(|size| usize::try_from(size).ok());
        let max_capacity = expected_size.unwrap_or(max_size).min(max_size);
        let mut reading = self.account.reserve(MemoryKind::Body);
        if !reading.grow(READING_SIZE) {
            return Err(BodyError::NoMemory);
        }
        let mut reservation = self.account.reserve(MemoryKind::Body);
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyError::Incomplete(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > max_size {
                drop(bytes);
                self.discard(&mut body).await;
                return Err(BodyError::Oversized);
            }
            ensure_capacity(&mut bytes, data.len(), max_capacity, &mut reservation)?;
            // Copied, since the frame is a part of the connection's read buffer and would keep all of it.
            bytes.extend_from_slice(&data);
        }
        Ok(HeldBytes::share(bytes, reservation))
    }

    /// Reads on for a moment without keeping anything. Closing a connection with unread bytes resets it, which would take
    /// the refusal away from a client that has not read it yet.
    async fn discard(&self, body: &mut Incoming) {
        let mut left = self.max_size.get();
        let discard = async {
            while let Some(Ok(frame)) = body.frame().await {
                let size = frame.data_ref().map_or(0, Bytes::len) as u64;
                match left.checked_sub(size) {
                    Some(rest) => left = rest,
                    None => break,
                }
            }
        };
        // An expired timeout is what ends a body that stops.
        let _ = timeout(MAX_DISCARD_TIME, discard).await;
    }
}

/// Makes room for `size` more bytes. The capacity doubles up to `max_capacity`, so that it counts at most twice the bytes
/// that have arrived.
fn ensure_capacity(
    bytes: &mut Vec<u8>,
    size: usize,
    max_capacity: usize,
    reservation: &mut MemoryReservation,
) -> Result<(), BodyError> {
    let needed = bytes.len() + size;
    if needed <= bytes.capacity() {
        return Ok(());
    }
    let doubled = (bytes.capacity() * 2).max(MIN_BUFFER_SIZE);
    let capacity = doubled.min(max_capacity).max(needed);
    if !reservation.grow(capacity - bytes.capacity()) {
        return Err(BodyError::NoMemory);
    }
    bytes.reserve_exact(capacity - bytes.len());
    Ok(())
}
