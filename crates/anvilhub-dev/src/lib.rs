//! Development tools of anvilhub.

pub mod bench;
pub mod capacity;
pub mod matrix;
pub mod process;
pub mod standin;
