use sha2::{Digest, Sha256};

/// Digest of the content of a request. Distinguishes a resend from a different request with the same ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Computes the digest of a request for `key` with the text `query`.
    ///
    /// The request id and the deadline are not included, since a resend may change both.
    pub fn new(key: u64, query: &str) -> Self {
        let digest = Sha256::new()
            .chain_update(key.to_be_bytes())
            .chain_update(query);
        Self(digest.finalize().into())
    }
}
