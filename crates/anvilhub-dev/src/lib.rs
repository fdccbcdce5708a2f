//! Development tools of anvilhub: stand-ins, process tests, benchmarks, capacity figures and the fault matrix.

pub mod bench;
pub mod capacity;
pub mod matrix;
pub mod process;
pub mod standin;
