//! Development tools of anvilhub.

pub mod standin;
