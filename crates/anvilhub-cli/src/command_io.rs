use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use anvilhub_coord::sheet::CheckedSheet;

use crate::command_error::{CommandError, Result};
use crate::exit_status::ExitStatus;

/// Reads the bytes of a sheet.
pub(crate) fn read_bytes(path: &Path) -> Result<Vec<u8>> {
    fs::read(path).map_err(|source| CommandError::UnreadableFile {
        path: path.to_owned(),
        source,
    })
}

/// Reads a sheet and checks that it has no faults.
pub(crate) fn read_checked(path: &Path) -> Result<CheckedSheet> {
    CheckedSheet::from_bytes(&read_bytes(path)?).map_err(|faults| CommandError::FaultySheet {
        path: path.to_owned(),
        faults,
    })
}

/// Stores the path `value` in `target`.
///
/// # Errors
///
/// Fails when `target` has a path already.
pub(crate) fn set_path(target: &mut Option<PathBuf>, value: std::ffi::OsString) -> Result<()> {
    match target.replace(value.into()) {
        None => Ok(()),
        Some(_) => Err(CommandError::invalid_arguments("too many files were given")),
    }
}

/// Writes `text` to standard output. A closed pipe is not an error.
pub(crate) fn print(text: &str) -> Result<ExitStatus> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(error.into()),
        _ => Ok(ExitStatus::Success),
    }
}

/// Writes `value` to standard output as indented JSON. A closed pipe is not an error.
pub(crate) fn print_json(value: &impl serde::Serialize) -> Result<ExitStatus> {
    let text = serde_json::to_string_pretty(value).map_err(io::Error::from)?;
    print(&format!("{text}\n"))
}
