use derive_more::{Display, Error};

/// Why a settings file cannot be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read settings file {path}: {reason}; check the path and its permissions")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// What the operating system says.
        reason: String,
    },
    /// The file is not the expected JSON document.
    #[display("settings file {path}: {reason}; see docs/settings.md for the fields")]
    Malformed {
        /// Path of the file.
        path: String,
        /// What the parser says, with line and column.
        reason: String,
    },
    /// A required field is absent.
    #[display("setting `{field}` is missing; add it, for example \"{field}\": {example}")]
    Missing {
        /// Name of the field.
        field: &'static str,
        /// A usable value.
        example: &'static str,
    },
    /// A field has a value that cannot be used.
    #[display("setting `{field}` is `{found}`; expected {expected}")]
    Unusable {
        /// Name of the field.
        field: &'static str,
        /// The value that was given.
        found: String,
        /// What is accepted.
        expected: String,
    },
    /// Two fields hold the same address.
    #[display("settings `{first}` and `{second}` are both {address}; give each its own port")]
    SharedAddress {
        /// One field.
        first: &'static str,
        /// The other field.
        second: &'static str,
        /// The address that both hold.
        address: String,
    },
}
