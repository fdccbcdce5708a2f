use std::env;
use std::path::PathBuf;

use eyre::{Result, WrapErr, ensure, eyre};

/// Returns the path of a program of this workspace, in the `target/<profile>/` folder of the test.
///
/// # Errors
///
/// Returns an error if the program was not built.
pub(crate) fn program_path(name: &str) -> Result<PathBuf> {
    let test = env::current_exe().wrap_err("cannot find the path of the test")?;
    let folder = test
        .ancestors()
        .skip(1)
        .find(|folder| !folder.ends_with("deps"))
        .ok_or_else(|| eyre!("{} has no parent", test.display()))?;
    let program = folder.join(name);
    ensure!(
        program.is_file(),
        "{} is missing; run `cargo build --workspace` first",
        program.display()
    );
    Ok(program)
}
