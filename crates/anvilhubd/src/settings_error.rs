use derive_more::{Display, Error};

/// Error of a settings file that cannot be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read settings file {path}: {reason}; check the path and its permissions")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        reason: String,
    },
    /// The file is not the expected JSON document.
    #[display("settings file {path}: {reason}; see docs/settings.md for the fields")]
    Malformed {
        /// Path of the file.
        path: String,
        /// Error of the parser, with line and column.
        reason: String,
    },
    /// A required field is missing.
    #[display("setting `{field}` is missing; add it, for example \"{field}\": {example}")]
    Missing {
        /// Name of the field.
        field: &'static str,
        /// An example of a usable value.
        example: &'static str,
    },
    /// A field has a value that cannot be used.
    #[display("setting `{field}` is `{found}`; expected {expected}")]
    Unusable {
        /// Name of the field.
        field: &'static str,
        /// The given value.
        found: String,
        /// Description of the accepted values.
        expected: String,
    },
    /// Two fields contain the same address.
    #[display("settings `{first}` and `{second}` are both {address}; give each its own port")]
    SharedAddress {
        /// Name of one field.
        first: &'static str,
        /// Name of the other field.
        second: &'static str,
        /// The address that both contain.
        address: String,
    },
}
