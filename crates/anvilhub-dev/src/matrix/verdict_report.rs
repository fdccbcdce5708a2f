use std::collections::BTreeSet;
use std::fmt;

use super::{CellNote, FaultMatrix, MatrixCell, NoteKind, TestVerdict};

/// The verdict of each cell after a run.
#[derive(Clone, Copy, Debug)]
pub struct VerdictReport<'a> {
    /// The tests and how they ended.
    pub matrix: &'a FaultMatrix,
    /// The reasons of cells without tests.
    pub notes: &'a [CellNote],
}

impl VerdictReport<'_> {
    /// Number of cells whose worst verdict is `verdict`.
    pub fn count(&self, verdict: TestVerdict) -> usize {
        let verdicts = self.matrix.cells().map(|cell| self.matrix.verdict(cell));
        verdicts.filter(|found| *found == Some(verdict)).count()
    }
}

impl fmt::Display for VerdictReport<'_> {
    fn fmt(&self, report: &mut fmt::Formatter<'_>) -> fmt::Result {
        let required = MatrixCell::required();
        let cells: BTreeSet<_> = required.chain(self.matrix.cells().cloned()).collect();
        for cell in &cells {
            let note = self.notes.iter().find(|note| note.cell == *cell);
            match (self.matrix.verdict(cell), note) {
                (Some(verdict), _) => {
                    let count = self.matrix.tests(cell).count();
                    writeln!(report, "{cell}: {verdict} (tests: {count})")?;
                }
                (None, Some(note)) => writeln!(report, "{cell}: {} ({})", note.kind, note.reason)?,
                (None, None) => writeln!(report, "{cell}: no test and no reason")?,
            }
        }
        let notes = |kind| self.notes.iter().filter(|note| note.kind == kind).count();
        for kind in [NoteKind::Never, NoteKind::Open] {
            writeln!(report, "{} {kind}", notes(kind))?;
        }
        writeln!(report, "{} not run", self.count(TestVerdict::NotRun))?;
        let passed = self.count(TestVerdict::Passed);
        let failed = self.count(TestVerdict::Failed);
        writeln!(report, "{passed} passed, {failed} failed")
    }
}
