use serde_json::Value;

use super::document_shape::SHEET_SHAPE;
use super::{CheckedSheet, PackedSheet, Result, SheetCheck, SheetDocument, SheetFault};

/// Maximum size of a published value in bytes. The configuration service stores values up to this size.
pub const MAX_SHEET_BYTES: usize = 1_000_000;

/// A sheet whose fields have the right names and types, but that has not been checked as a whole yet.
#[derive(Clone, Debug, PartialEq)]
pub struct DraftSheet {
    document: SheetDocument,
}

impl DraftSheet {
    /// Reads a published value, which is a JSON document or its packed form, gzip data in base64.
    ///
    /// # Errors
    ///
    /// Returns one fault if the value is too large, empty, truncated or not JSON, and otherwise all unknown fields,
    /// missing fields and wrong types.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_SHEET_BYTES {
            return Err(vec![size_fault(bytes.len())]);
        }
        let bytes = bytes.trim_ascii();
        if bytes.is_empty() {
            return Err(vec![empty_fault()]);
        }
        match PackedSheet::detect(bytes) {
            Some(packed) => Self::from_json(&packed.unpack()?),
            None => Self::from_json(bytes),
        }
    }

    /// Deserializes the document into the generated types. Only if this fails, the slower check against
    /// `SHEET_SHAPE` collects all faults.
    fn from_json(bytes: &[u8]) -> Result<Self> {
        let error = match serde_json::from_slice(bytes) {
            Ok(document) => return Ok(Self { document }),
            Err(error) => error,
        };
        let value: Value = serde_json::from_slice(bytes).map_err(|error| syntax_faults(&error))?;
        let mut faults = Vec::new();
        SHEET_SHAPE.check("", &value, &mut faults);
        match faults.is_empty() {
            true => Err(syntax_faults(&error)),
            false => Err(SheetCheck::truncate_faults(faults)),
        }
    }

    /// Creates a draft from a document, such as one that was assembled from the services that a peer sent.
    pub fn from_document(document: SheetDocument) -> Self {
        Self { document }
    }

    /// Checks the whole document.
    ///
    /// # Errors
    ///
    /// Returns all faults of the document, each with its place and remedy.
    pub fn check(self) -> Result<CheckedSheet> {
        SheetCheck::check_document(&self.document)?;
        CheckedSheet::from_document(self.document)
    }
}

fn size_fault(size: usize) -> SheetFault {
    SheetFault::new(
        "",
        format!("{size} bytes"),
        format!("at most {MAX_SHEET_BYTES} bytes"),
        "publish the packed form: `gzip -c SHEET | base64`",
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

fn syntax_faults(error: &serde_json::Error) -> Vec<SheetFault> {
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
