use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{IdError, Result};

/// SHA-256 digest of a sheet or of a part of one, shown as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct SheetDigest([u8; 32]);

impl SheetDigest {
    /// Computes the digest of `bytes`.
    pub fn compute(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    fn parse(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for SheetDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for SheetDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SheetDigest({self})")
    }
}

impl FromStr for SheetDigest {
    type Err = IdError;

    /// # Errors
    ///
    /// Fails if `text` is not 64 hexadecimal digits.
    fn from_str(text: &str) -> Result<Self> {
        Self::parse(text).ok_or_else(|| IdError::Digest {
            found: text.to_owned(),
        })
    }
}

impl From<SheetDigest> for String {
    fn from(digest: SheetDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for SheetDigest {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}
