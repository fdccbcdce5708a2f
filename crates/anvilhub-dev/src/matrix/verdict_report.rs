use std::collections::BTreeSet;
use std::fmt;

use super::{CellExemption, ExemptionKind, FaultMatrix, MatrixCell, TestVerdict};

/// Formats the verdict of each cell after a run.
#[derive(Clone, Copy, Debug)]
pub struct VerdictReport<'a> {
    /// The tests of each cell and their verdicts.
    pub matrix: &'a FaultMatrix,
    /// The exemptions of cells without tests.
    pub exemptions: &'a [CellExemption],
}

impl VerdictReport<'_> {
    /// Returns the number of cells whose worst verdict is `verdict`.
    pub fn count(&self, verdict: TestVerdict) -> usize {
        let verdicts = self.matrix.cells().map(|cell| self.matrix.verdict(cell));
        verdicts.filter(|found| *found == Some(verdict)).count()
    }
}

impl fmt::Display for VerdictReport<'_> {
    fn fmt(&self, report: &mut fmt::Formatter<'_>) -> fmt::Result {
        let required = MatrixCell::all_required();
        let cells: BTreeSet<_> = required.chain(self.matrix.cells().cloned()).collect();
        for cell in &cells {
            let exemption = self
                .exemptions
                .iter()
                .find(|exemption| exemption.cell == *cell);
            match (self.matrix.verdict(cell), exemption) {
                (Some(verdict), _) => {
                    let count = self.matrix.tests(cell).count();
                    writeln!(report, "{cell}: {verdict} (tests: {count})")?;
                }
                (None, Some(exemption)) => {
                    writeln!(report, "{cell}: {} ({})", exemption.kind, exemption.reason)?
                }
                (None, None) => writeln!(report, "{cell}: no test and no reason")?,
            }
        }
        let exemptions = |kind| {
            self.exemptions
                .iter()
                .filter(|exemption| exemption.kind == kind)
                .count()
        };
        for kind in [ExemptionKind::NotApplicable, ExemptionKind::NotProved] {
            writeln!(report, "{} {kind}", exemptions(kind))?;
        }
        writeln!(report, "{} not run", self.count(TestVerdict::NotRun))?;
        let passed = self.count(TestVerdict::Passed);
        let failed = self.count(TestVerdict::Failed);
        writeln!(report, "{passed} passed, {failed} failed")
    }
}
