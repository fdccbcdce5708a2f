//! The fault matrix: which test proves which guarantee under which fault.
//!
//! Its cells come from the names of the tests, `matrix::<guarantee>::<fault>`, so that the page cannot claim
//! a proof that does not run.

mod cell_note;
mod fault_matrix;
mod matrix_cell;
mod matrix_error;
mod matrix_page;
mod mutation_entry;
mod test_verdict;
mod verdict_report;

pub use cell_note::{CellNote, NoteKind};
pub use fault_matrix::FaultMatrix;
pub use matrix_cell::{FAULTS, GUARANTEES, MatrixCell};
pub use matrix_error::MatrixError;
pub use matrix_page::MatrixPage;
pub use mutation_entry::MutationEntry;
pub use test_verdict::TestVerdict;
pub use verdict_report::VerdictReport;

/// Result of reading the matrix's inputs.
pub type Result<T, E = MatrixError> = std::result::Result<T, E>;
