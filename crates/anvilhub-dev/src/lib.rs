//! Development tools of anvilhub.

pub mod process;
pub mod standin;
