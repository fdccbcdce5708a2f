use std::path::PathBuf;

use anvilhub_coord::sheet::SheetDiff;
use lexopt::prelude::*;

use crate::command_error::{CommandError, Result};
use crate::command_io::{print, print_json, read_checked};
use crate::exit_status::ExitStatus;

const HELP: &str = "\
Shows what changes from one sheet to another.

Usage: anvilhub diff OLD NEW [--json]

Options:
  --json       Print the changes as JSON
  -h, --help   Show this help

Exit codes: 0 shown, whether or not the sheets differ; 1 a sheet has faults; 2 wrong usage or unreadable file
";

/// Runs `anvilhub diff`.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitStatus> {
    let mut paths: Vec<PathBuf> = Vec::new();
    let mut json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return print(HELP),
            Long("json") => json = true,
            Value(path) => paths.push(path.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let [old, new] = paths.as_slice() else {
        return Err(CommandError::invalid_arguments(
            "two sheets are needed, OLD and NEW",
        ));
    };
    let diff = SheetDiff::between(&read_checked(old)?, &read_checked(new)?);
    match json {
        true => print_json(&diff),
        false => print(&diff.to_string()),
    }
}
