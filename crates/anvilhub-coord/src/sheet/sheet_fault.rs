use derive_more::{Display, Error};
use serde::Serialize;

/// Maximum length of an excerpt of the sheet in a fault, in characters. Limits the length of log lines.
const MAX_EXCERPT_CHARS: usize = 120;

/// A fault of a sheet, with its place and remedy.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, Serialize)]
#[display("{place}: {found}; expected {expected}; {remedy}")]
pub struct SheetFault {
    /// JSON pointer to the faulty value.
    pub place: String,
    /// What the sheet contains at this place.
    pub found: String,
    /// What the check accepts at this place.
    pub expected: String,
    /// How the operator can correct the fault.
    pub remedy: String,
}

impl SheetFault {
    /// Creates a fault at `place`. The empty pointer, which refers to the whole document, is shown as `/`.
    pub(crate) fn new(
        place: impl Into<String>,
        found: impl Into<String>,
        expected: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        let place = place.into();
        Self {
            place: match place.is_empty() {
                true => "/".to_owned(),
                false => place,
            },
            found: found.into(),
            expected: expected.into(),
            remedy: remedy.into(),
        }
    }
}

/// Returns `text` in backquotes, truncated to the maximum length of an excerpt.
pub(crate) fn quote(text: &str) -> String {
    let mut chars = text.chars();
    let excerpt: String = chars.by_ref().take(MAX_EXCERPT_CHARS).collect();
    match chars.next() {
        Some(_) => format!("`{excerpt}...`"),
        None => format!("`{excerpt}`"),
    }
}

/// Appends one segment to a JSON pointer, escaped according to RFC 6901.
pub(crate) fn join_pointer(place: &str, segment: &str) -> String {
    format!("{place}/{}", segment.replace('~', "~0").replace('/', "~1"))
}
