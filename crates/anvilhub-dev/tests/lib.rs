//! Process tests: they start the programs of this repository. One file a feature.

mod capacity_figures;
mod fault_matrix;
mod matrix;
mod standin;
