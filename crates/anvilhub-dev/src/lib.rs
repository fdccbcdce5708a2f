//! Development tools of anvilhub.

pub mod bench;
