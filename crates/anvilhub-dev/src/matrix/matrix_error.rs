use derive_more::{Display, Error};

/// Why the matrix cannot be shown.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum MatrixError {
    /// A line of an input file does not have its form.
    #[display("{file}:{line}: `{found}` is not `{expected}`; correct the line")]
    Line {
        /// The input file.
        file: &'static str,
        /// Number of the line, from 1.
        line: usize,
        /// The line.
        found: String,
        /// Its form.
        expected: &'static str,
    },
    /// Cells have neither a test nor a reason.
    #[display(
        "no test and no reason for: {}; add a test named after the fault or a line to \
         docs/fault-matrix-exempt.txt",
        cells.join(", ")
    )]
    Empty {
        /// The cells.
        #[error(not(source))]
        cells: Vec<String>,
    },
    /// Cells have a reason although a test proves them.
    #[display(
        "docs/fault-matrix-exempt.txt excuses proved cells: {}; remove the lines",
        cells.join(", ")
    )]
    Excused {
        /// The cells.
        #[error(not(source))]
        cells: Vec<String>,
    },
    /// Guarantees have no mutation.
    #[display("no mutation breaks: {}; add one to docs/mutations.txt", guarantees.join(", "))]
    Unbroken {
        /// The guarantees.
        #[error(not(source))]
        guarantees: Vec<String>,
    },
}
