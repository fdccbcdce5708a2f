use derive_more::{Display, Error};
use serde::Serialize;

/// Longest excerpt of a sheet that a fault repeats, in characters. Keeps log lines bounded.
const MAX_EXCERPT_CHARS: usize = 120;

/// One fault of a sheet, with its location and remedy.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, Serialize)]
#[display("{place}: {found}; expected {expected}; {remedy}")]
pub struct SheetFault {
    /// JSON pointer to the faulty value.
    pub place: String,
    /// What the sheet holds there.
    pub found: String,
    /// What the check accepts.
    pub expected: String,
    /// What the operator should do.
    pub remedy: String,
}

impl SheetFault {
    /// A fault at `place`; an empty pointer, the whole document, is shown as `/`.
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

/// `text` in backquotes, shortened to a bounded excerpt.
pub(crate) fn quote(text: &str) -> String {
    let mut chars = text.chars();
    let excerpt: String = chars.by_ref().take(MAX_EXCERPT_CHARS).collect();
    match chars.next() {
        Some(_) => format!("`{excerpt}...`"),
        None => format!("`{excerpt}`"),
    }
}

/// Appends one segment to a JSON pointer, escaped as RFC 6901 asks.
pub(crate) fn join(place: &str, segment: &str) -> String {
    format!("{place}/{}", segment.replace('~', "~0").replace('/', "~1"))
}
