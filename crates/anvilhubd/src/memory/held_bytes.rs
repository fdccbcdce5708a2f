use bytes::Bytes;

use super::MemoryReservation;

/// Bytes that count towards the ledger until their last reference is dropped.
pub(crate) struct HeldBytes<T> {
    bytes: T,
    _reservation: MemoryReservation,
}

impl<T: AsRef<[u8]> + Send + 'static> HeldBytes<T> {
    /// Returns `bytes`, which hold `reservation` until the last reference to them is dropped.
    pub(crate) fn share(bytes: T, reservation: MemoryReservation) -> Bytes {
        Bytes::from_owner(Self {
            bytes,
            _reservation: reservation,
        })
    }
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
