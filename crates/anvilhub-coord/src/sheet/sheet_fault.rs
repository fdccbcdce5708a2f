use derive_more::{Display, Error};
use serde::Serialize;

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
