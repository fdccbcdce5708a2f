use derive_more::Display;

use super::{MatrixCell, MatrixError, Result};

const FILE_PATH: &str = "docs/fault-matrix-exempt.txt";
const LINE_FORMAT: &str = "never|open GUARANTEE FAULT REASON";

/// A cell that has no test, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellExemption {
    /// The cell.
    pub cell: MatrixCell,
    /// Whether a test is possible.
    pub kind: ExemptionKind,
    /// The reason, as one phrase.
    pub reason: String,
}

/// Whether a test is possible for a cell without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ExemptionKind {
    /// The fault cannot affect the guarantee.
    #[display("cannot arise")]
    NotApplicable,
    /// A test is possible but missing.
    #[display("not proved yet")]
    NotProved,
}

impl CellExemption {
    /// Parses the exemptions in `text`, one per line. Empty lines and lines that start with `#` are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error for the first line that does not name a cell or gives no reason.
    pub fn parse_all(text: &str) -> Result<Vec<Self>> {
        let lines = text.lines().enumerate();
        let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        lines
            .map(|(index, line)| {
                Self::parse(line).ok_or_else(|| MatrixError::InvalidLine {
                    file: FILE_PATH,
                    line: index + 1,
                    found: line.to_owned(),
                    expected: LINE_FORMAT,
                })
            })
            .collect()
    }

    fn parse(line: &str) -> Option<Self> {
        let mut words = line.splitn(4, ' ');
        let kind = match words.next()? {
            "never" => ExemptionKind::NotApplicable,
            "open" => ExemptionKind::NotProved,
            _ => return None,
        };
        let cell = MatrixCell::from_names(words.next()?, words.next()?)?;
        let reason = words.next()?.trim().to_owned();
        (!reason.is_empty()).then_some(Self { cell, kind, reason })
    }
}
