//! The command-line tool `anvilhub`.

mod check;
mod command_error;
mod command_io;
mod diff;
mod drain;
mod exit_status;
mod explain;
mod help_text;
mod instance_client;
mod query;
mod request_history;
mod state;

use std::ffi::OsString;
use std::process::ExitCode;

use lexopt::prelude::*;

use command_error::{CommandError, Result};
use command_io::print;
use exit_status::ExitStatus;

fn main() -> ExitCode {
    match run() {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("anvilhub: {error}");
            error.exit_status().into()
        }
    }
}

/// Parses the subcommand and runs it with the remaining arguments.
fn run() -> Result<ExitStatus> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(Long("help") | Short('h')) => print(help_text::HELP),
        Some(Long("version") | Short('V')) => {
            print(concat!("anvilhub ", env!("CARGO_PKG_VERSION"), "\n"))
        }
        Some(Value(command)) => run_command(&command, parser),
        Some(other) => Err(other.unexpected().into()),
        None => Err(CommandError::invalid_arguments("no command was given")),
    }
}

fn run_command(command: &OsString, parser: lexopt::Parser) -> Result<ExitStatus> {
    match command.to_str() {
        Some("check") => check::run(parser),
        Some("diff") => diff::run(parser),
        Some("drain") => drain::run(parser),
        Some("explain") => explain::run(parser),
        Some("query") => query::run(parser),
        Some("state") => state::run(parser),
        Some("help") => print(help_text::HELP),
        _ => Err(CommandError::invalid_arguments(format!(
            "unknown command {}",
            command.display()
        ))),
    }
}
