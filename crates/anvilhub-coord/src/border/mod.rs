//! Message and document types at the border, generated from `schemas/`.

#[allow(missing_docs, clippy::all)]
pub mod operator;
#[allow(missing_docs, clippy::all)]
pub mod platform;
#[allow(missing_docs, clippy::all)]
pub mod query;
#[allow(missing_docs, clippy::all)]
pub mod settings;
#[allow(missing_docs, clippy::all)]
pub mod sheet;
#[allow(missing_docs, clippy::all)]
pub mod upstream;
