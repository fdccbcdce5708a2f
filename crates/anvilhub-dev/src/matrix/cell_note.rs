use derive_more::Display;

use super::{MatrixCell, MatrixError, Result};

const FILE: &str = "docs/fault-matrix-exempt.txt";
const FORM: &str = "never|open GUARANTEE FAULT REASON";

/// Why a cell has no test.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellNote {
    /// The cell.
    pub cell: MatrixCell,
    /// Whether a test can exist at all.
    pub kind: NoteKind,
    /// The reason, one phrase.
    pub reason: String,
}

/// Whether a cell without a test can have one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum NoteKind {
    /// The fault cannot touch the guarantee.
    #[display("cannot arise")]
    Never,
    /// A test is possible and missing.
    #[display("not proved yet")]
    Open,
}

impl CellNote {
    /// Reads the notes of `text`, one a line; empty lines and lines that start with `#` are left out.
    ///
    /// # Errors
    ///
    /// Fails at the first line that names no cell or gives no reason.
    pub fn parse_all(text: &str) -> Result<Vec<Self>> {
        let lines = text.lines().enumerate();
        let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        lines
            .map(|(index, line)| {
                Self::parse(line).ok_or_else(|| MatrixError::Line {
                    file: FILE,
                    line: index + 1,
                    found: line.to_owned(),
                    expected: FORM,
                })
            })
            .collect()
    }

    fn parse(line: &str) -> Option<Self> {
        let mut words = line.splitn(4, ' ');
        let kind = match words.next()? {
            "never" => NoteKind::Never,
            "open" => NoteKind::Open,
            _ => return None,
        };
        let cell = MatrixCell::of_names(words.next()?, words.next()?)?;
        let reason = words.next()?.trim().to_owned();
        (!reason.is_empty()).then_some(Self { cell, kind, reason })
    }
}
