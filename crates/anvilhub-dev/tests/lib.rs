//! Process tests: they start the programs of this repository. One file a feature.

mod matrix;
mod standin;
