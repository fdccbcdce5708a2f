//! Process tests, which start the programs of this workspace, and tests of the development tools. One file or folder
//! per feature.

mod capacity_figures;
mod fault_matrix;
mod matrix;
mod standin;
