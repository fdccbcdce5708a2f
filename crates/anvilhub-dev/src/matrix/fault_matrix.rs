use std::collections::BTreeMap;

use super::{CellNote, MatrixCell, MatrixError, Result, TestVerdict};

/// The tests of each cell.
#[derive(Clone, Debug, Default)]
pub struct FaultMatrix {
    cells: BTreeMap<MatrixCell, BTreeMap<String, TestVerdict>>,
}

impl FaultMatrix {
    /// Reads the output of `cargo test`, of a run or of `--list`.
    ///
    /// A test of the same name in several crates keeps the worst verdict.
    pub fn read(output: &str) -> Self {
        let mut matrix = Self::default();
        for (test, verdict) in output.lines().filter_map(TestVerdict::parse) {
            if let Some(cell) = MatrixCell::of_test(test) {
                let tests = matrix.cells.entry(cell).or_default();
                let known = tests.entry(test.to_owned()).or_insert(verdict);
                *known = verdict.max(*known);
            }
        }
        matrix
    }

    /// The cells with tests, in the order of their names.
    pub fn cells(&self) -> impl Iterator<Item = &MatrixCell> {
        self.cells.keys()
    }

    /// The tests of `cell` and their verdicts.
    pub fn tests(&self, cell: &MatrixCell) -> impl Iterator<Item = (&str, TestVerdict)> {
        let tests = self.cells.get(cell).into_iter().flatten();
        tests.map(|(test, verdict)| (test.as_str(), *verdict))
    }

    /// The worst verdict of `cell`; `None` without a test.
    pub fn verdict(&self, cell: &MatrixCell) -> Option<TestVerdict> {
        self.tests(cell).map(|(_, verdict)| verdict).max()
    }

    /// Checks that every required cell has either a test or a note.
    ///
    /// # Errors
    ///
    /// Names the cells that have neither, or both.
    pub fn check(&self, notes: &[CellNote]) -> Result<()> {
        let is_noted = |cell: &MatrixCell| notes.iter().any(|note| note.cell == *cell);
        let is_tested = |cell: &MatrixCell| self.cells.contains_key(cell);
        let names = |is_listed: &dyn Fn(&MatrixCell) -> bool| -> Vec<_> {
            let cells = MatrixCell::required().filter(|cell| is_listed(cell));
            cells.map(|cell| cell.to_string()).collect()
        };
        let empty = names(&|cell| !is_noted(cell) && !is_tested(cell));
        if !empty.is_empty() {
            return Err(MatrixError::Empty { cells: empty });
        }
        let excused = names(&|cell| is_noted(cell) && is_tested(cell));
        match excused.is_empty() {
            true => Ok(()),
            false => Err(MatrixError::Excused { cells: excused }),
        }
    }
}
