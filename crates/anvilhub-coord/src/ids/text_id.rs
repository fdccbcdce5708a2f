/// Maximum length of an identifier in bytes, which bounds log lines and metric labels.
pub(crate) const MAX_TEXT_ID_BYTES: usize = 128;

/// Returns whether `text` is a valid identifier: 1 to 128 bytes of letters, digits, `.`, `_`, `-`, `/` or `:`.
pub(crate) fn is_text_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-/:".contains(&byte);
    !text.is_empty() && text.len() <= MAX_TEXT_ID_BYTES && text.bytes().all(is_allowed)
}

/// Defines a textual identifier that is cheap to clone.
///
/// Deserialization accepts any text, so that the check of a document can report the location of every invalid
/// identifier. `FromStr` and `is_valid` do check the text.
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns whether the identifier is one that `FromStr` accepts.
            pub fn is_valid(&self) -> bool {
                crate::ids::text_id::is_text_id(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::ids::IdError;

            /// # Errors
            ///
            /// Fails if `text` is empty, longer than 128 bytes, or contains other bytes than letters, digits, `.`,
            /// `_`, `-`, `/` and `:`.
            fn from_str(text: &str) -> crate::ids::Result<Self> {
                match crate::ids::text_id::is_text_id(text) {
                    true => Ok(Self(text.into())),
                    false => Err(crate::ids::IdError::Text {
                        kind: stringify!($name),
                        found: text.to_owned(),
                    }),
                }
            }
        }
    };
}

pub(crate) use text_id;
