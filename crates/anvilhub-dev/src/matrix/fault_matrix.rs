use std::collections::BTreeMap;

use super::{CellExemption, MatrixCell, MatrixError, Result, TestVerdict};

/// The tests of each cell with their verdicts.
#[derive(Clone, Debug, Default)]
pub struct FaultMatrix {
    cells: BTreeMap<MatrixCell, BTreeMap<String, TestVerdict>>,
}

impl FaultMatrix {
    /// Parses the output of `cargo test`, of a run or with `--list`.
    ///
    /// When several crates have a test of the same name, the worst verdict counts.
    pub fn from_test_output(output: &str) -> Self {
        let mut matrix = Self::default();
        for (test, verdict) in output.lines().filter_map(TestVerdict::parse) {
            if let Some(cell) = MatrixCell::from_test_path(test) {
                let tests = matrix.cells.entry(cell).or_default();
                let worst = tests.entry(test.to_owned()).or_insert(verdict);
                *worst = verdict.max(*worst);
            }
        }
        matrix
    }

    /// Returns the cells that have tests, in the order of their names.
    pub fn cells(&self) -> impl Iterator<Item = &MatrixCell> {
        self.cells.keys()
    }

    /// Returns the tests of `cell` and their verdicts.
    pub fn tests(&self, cell: &MatrixCell) -> impl Iterator<Item = (&str, TestVerdict)> {
        let tests = self.cells.get(cell).into_iter().flatten();
        tests.map(|(test, verdict)| (test.as_str(), *verdict))
    }

    /// Returns the worst verdict of `cell`, or `None` if it has no test.
    pub fn verdict(&self, cell: &MatrixCell) -> Option<TestVerdict> {
        self.tests(cell).map(|(_, verdict)| verdict).max()
    }

    /// Checks that every required cell has either a test or an exemption.
    ///
    /// # Errors
    ///
    /// Returns an error that names the cells that have neither, or both.
    pub fn check(&self, exemptions: &[CellExemption]) -> Result<()> {
        let is_exempt =
            |cell: &MatrixCell| exemptions.iter().any(|exemption| exemption.cell == *cell);
        let is_tested = |cell: &MatrixCell| self.cells.contains_key(cell);
        let cell_names = |is_listed: &dyn Fn(&MatrixCell) -> bool| -> Vec<_> {
            let cells = MatrixCell::all_required().filter(|cell| is_listed(cell));
            cells.map(|cell| cell.to_string()).collect()
        };
        let uncovered = cell_names(&|cell| !is_exempt(cell) && !is_tested(cell));
        if !uncovered.is_empty() {
            return Err(MatrixError::UncoveredCells { cells: uncovered });
        }
        let needless = cell_names(&|cell| is_exempt(cell) && is_tested(cell));
        match needless.is_empty() {
            true => Ok(()),
            false => Err(MatrixError::NeedlessExemptions { cells: needless }),
        }
    }
}
