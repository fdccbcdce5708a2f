use derive_more::{Display, Error};

/// A fault in the inputs of the matrix.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum MatrixError {
    /// A line of an input file does not have the expected format.
    #[display("{file}:{line}: `{found}` is not `{expected}`; correct the line")]
    InvalidLine {
        /// The input file.
        file: &'static str,
        /// Line number, from 1.
        line: usize,
        /// The text of the line.
        found: String,
        /// The expected format.
        expected: &'static str,
    },
    /// Cells that have neither a test nor an exemption.
    #[display(
        "no test and no reason for: {}; add a test named after the fault or a line to \
         docs/fault-matrix-exempt.txt",
        cells.join(", ")
    )]
    UncoveredCells {
        /// The cells.
        #[error(not(source))]
        cells: Vec<String>,
    },
    /// Cells that have an exemption although a test proves them.
    #[display(
        "docs/fault-matrix-exempt.txt exempts cells that a test proves: {}; remove their lines",
        cells.join(", ")
    )]
    NeedlessExemptions {
        /// The cells.
        #[error(not(source))]
        cells: Vec<String>,
    },
    /// Guarantees without a mutation.
    #[display("no mutation breaks: {}; add one to docs/mutations.txt", guarantees.join(", "))]
    MissingMutations {
        /// The guarantees.
        #[error(not(source))]
        guarantees: Vec<String>,
    },
}
