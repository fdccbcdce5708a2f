use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{IdError, Result};

/// Length of a fingerprint in bytes. Half of a SHA-256 digest leaves no chance for two requests to share one.
const LEN: usize = 16;

/// Digest of what makes two requests the same, shown as 32 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestFingerprint([u8; LEN]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request that consists of `parts`.
    pub fn compute<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut digest = Sha256::new();
        for part in parts {
            // The length keeps bytes from moving between neighbouring parts.
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        let mut bytes = [0; LEN];
        bytes.copy_from_slice(&digest.finalize()[..LEN]);
        Self(bytes)
    }

    fn parse(text: &str) -> Option<Self> {
        if text.len() != 2 * LEN || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; LEN];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestFingerprint({self})")
    }
}

impl FromStr for RequestFingerprint {
    type Err = IdError;

    /// # Errors
    ///
    /// Fails if `text` is not 32 hexadecimal digits.
    fn from_str(text: &str) -> Result<Self> {
        Self::parse(text).ok_or_else(|| IdError::Fingerprint {
            found: text.to_owned(),
        })
    }
}

impl From<RequestFingerprint> for String {
    fn from(fingerprint: RequestFingerprint) -> Self {
        fingerprint.to_string()
    }
}

impl TryFrom<String> for RequestFingerprint {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}
