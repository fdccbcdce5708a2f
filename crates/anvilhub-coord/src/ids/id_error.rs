use derive_more::{Display, Error};

/// Why a text is not a valid identifier or digest.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum IdError {
    /// The text is not a valid identifier.
    #[display(
        "{kind} `{found}` is not an identifier; use 1 to 128 letters, digits, `.`, `_`, `-`, `/` or `:`"
    )]
    Text {
        /// Name of the identifier's type.
        kind: &'static str,
        /// The text that was given.
        found: String,
    },
    /// The text is not a digest of 64 hexadecimal digits.
    #[display("digest `{found}` is not 64 hexadecimal digits; copy it whole from `anvilhub state`")]
    Digest {
        /// The text that was given.
        found: String,
    },
    /// The text is not a fingerprint of 32 hexadecimal digits.
    #[display("fingerprint `{found}` is not 32 hexadecimal digits; copy it whole from the log")]
    Fingerprint {
        /// The text that was given.
        found: String,
    },
}
