//! Example sheets for tests.

use std::fs;
use std::path::PathBuf;

use anvilhub_coord::sheet::CheckedSheet;

/// Returns the path of a file under `examples/`.
pub fn example_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Returns an example sheet that passes the check.
pub fn read_example(name: &str) -> CheckedSheet {
    CheckedSheet::from_bytes(&fs::read(example_path(name)).unwrap()).unwrap()
}
