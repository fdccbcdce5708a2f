//! The fault matrix: records which test proves which guarantee under which fault.
//!
//! Its cells are derived from the names of the tests, `matrix::<guarantee>::<fault>`, so that the page lists only tests
//! that exist.

mod cell_exemption;
mod fault_matrix;
mod matrix_cell;
mod matrix_error;
mod matrix_page;
mod mutation_record;
mod test_verdict;
mod verdict_report;

pub use cell_exemption::{CellExemption, ExemptionKind};
pub use fault_matrix::FaultMatrix;
pub use matrix_cell::{FAULTS, GUARANTEES, MatrixCell};
pub use matrix_error::MatrixError;
pub use matrix_page::MatrixPage;
pub use mutation_record::MutationRecord;
pub use test_verdict::TestVerdict;
pub use verdict_report::VerdictReport;

/// Result of parsing and checking the matrix's inputs.
pub type Result<T, E = MatrixError> = std::result::Result<T, E>;
