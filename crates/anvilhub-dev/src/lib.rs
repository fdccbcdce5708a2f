//! Development tools of anvilhub.

pub mod bench;
pub mod process;
pub mod standin;
