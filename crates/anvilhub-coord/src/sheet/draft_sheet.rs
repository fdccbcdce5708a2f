use serde_json::Value;

use super::document_shape::SHEET;
use super::{CheckedSheet, Result, SheetCheck, SheetDocument, SheetFault};

/// Largest sheet, in bytes. The configuration service holds values up to this size.
pub const MAX_SHEET_BYTES: usize = 1_000_000;

/// A sheet that has the right fields and types, not yet checked as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct DraftSheet {
    document: SheetDocument,
}

impl DraftSheet {
    /// Reads a document.
    ///
    /// # Errors
    ///
    /// One fault when the bytes are too many, empty, truncated or not JSON; otherwise every unknown field,
    /// missing field and wrong type.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_SHEET_BYTES {
            return Err(vec![size_fault(bytes.len())]);
        }
        if bytes.trim_ascii().is_empty() {
            return Err(vec![empty_fault()]);
        }
        let value: Value = serde_json::from_slice(bytes).map_err(|error| syntax(&error))?;
        let mut faults = Vec::new();
        SHEET.check("", &value, &mut faults);
        if !faults.is_empty() {
            return Err(SheetCheck::bounded(faults));
        }
        // A field that occurs twice is visible to the typed reader only.
        let document = serde_json::from_slice(bytes).map_err(|error| syntax(&error))?;
        Ok(Self { document })
    }

    /// A draft of a document that was put together from parts, as a fetch from a peer does.
    pub fn from_document(document: SheetDocument) -> Self {
        Self { document }
    }

    /// Checks the whole document.
    ///
    /// # Errors
    ///
    /// Every fault that the document has, each with its place and remedy.
    pub fn check(self) -> Result<CheckedSheet> {
        SheetCheck::of(&self.document)?;
        CheckedSheet::convert(self.document)
    }
}

fn size_fault(size: usize) -> SheetFault {
    SheetFault::new(
        "",
        format!("{size} bytes"),
        format!("at most {MAX_SHEET_BYTES} bytes"),
        "export the sheet without indentation and with shorter identifiers",
    )
}

fn empty_fault() -> SheetFault {
    SheetFault::new(
        "",
        "an empty document",
        "a JSON object with `version` and `services`",
        "export the sheet again and publish it whole",
    )
}

fn syntax(error: &serde_json::Error) -> Vec<SheetFault> {
    let remedy = match error.is_eof() {
        true => "the document is truncated: export the sheet again and publish it whole",
        false => "correct the JSON or export the sheet again",
    };
    vec![SheetFault::new(
        format!("line {} column {}", error.line(), error.column()),
        error.to_string(),
        "a JSON document as `docs/sheet.md` describes",
        remedy,
    )]
}
