use std::fmt::Write;
use std::path::{Path, PathBuf};

use anvilhub_coord::sheet::{CheckedSheet, SheetFault, SheetTransition};
use lexopt::prelude::*;
use serde::Serialize;

use crate::command_error::{CommandError, Result};
use crate::command_io::{print, print_json, read_bytes, read_checked, set_path};
use crate::exit_status::ExitStatus;

const HELP: &str = "\
Reports every fault of a sheet with its place and remedy.

Usage: anvilhub check SHEET [--against OLD] [--json]

Options:
  --against OLD   Also check the step from the sheet OLD, such as the one in force
  --json          Print the report as JSON
  -h, --help      Show this help

Exit codes: 0 no faults, 1 faults, 2 wrong usage or unreadable file
";

/// Parsed arguments of the command.
#[derive(Debug, Default)]
struct CheckOptions {
    sheet: Option<PathBuf>,
    against: Option<PathBuf>,
    json: bool,
}

/// Result of the check, as printed with `--json`.
#[derive(Debug, Serialize)]
struct CheckReport {
    sheet: String,
    valid: bool,
    faults: Vec<SheetFault>,
}

/// Runs `anvilhub check`.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitStatus> {
    let mut options = CheckOptions::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return print(HELP),
            Long("against") => set_path(&mut options.against, parser.value()?)?,
            Long("json") => options.json = true,
            Value(path) => set_path(&mut options.sheet, path)?,
            other => return Err(other.unexpected().into()),
        }
    }
    let Some(path) = &options.sheet else {
        return Err(CommandError::invalid_arguments("no sheet was given"));
    };
    let report = CheckReport::new(path, find_faults(path, options.against.as_deref())?);
    match options.json {
        true => print_json(&report)?,
        false => print(&report.to_text())?,
    };
    match report.valid {
        true => Ok(ExitStatus::Success),
        false => Ok(ExitStatus::Negative),
    }
}

/// Returns the faults of the sheet at `path`, and if it has none, those of the step to it from the sheet at `against`.
fn find_faults(path: &Path, against: Option<&Path>) -> Result<Vec<SheetFault>> {
    let old = against.map(read_checked).transpose()?;
    let sheet = match CheckedSheet::from_bytes(&read_bytes(path)?) {
        Ok(sheet) => sheet,
        Err(faults) => return Ok(faults),
    };
    let Some(old) = old else {
        return Ok(Vec::new());
    };
    let transition = SheetTransition::new(&old, &sheet);
    let mut faults = transition.check().err().unwrap_or_default();
    faults.extend(transition.unknown_removals());
    Ok(faults)
}

impl CheckReport {
    fn new(path: &Path, faults: Vec<SheetFault>) -> Self {
        Self {
            sheet: path.display().to_string(),
            valid: faults.is_empty(),
            faults,
        }
    }

    fn to_text(&self) -> String {
        if self.valid {
            return format!("{}: no faults\n", self.sheet);
        }
        let mut text = format!("{}: {} faults\n", self.sheet, self.faults.len());
        for fault in &self.faults {
            let SheetFault {
                place,
                found,
                expected,
                remedy,
            } = fault;
            write!(
                text,
                "\n{place}\n  found:    {found}\n  expected: {expected}\n  remedy:   {remedy}\n"
            )
            .expect("writing to a string does not fail");
        }
        text
    }
}
