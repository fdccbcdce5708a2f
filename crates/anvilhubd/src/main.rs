//! `anvilhubd`, an entry instance of the anvilhub query tier.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use anvilhubd::DaemonSettings;

const HELP: &str = "\
anvilhubd, an entry instance of the anvilhub query tier

Usage: anvilhubd --settings FILE [--check]

Options:
  --settings FILE  JSON settings, described in docs/settings.md
  --check          check the settings and exit
  --help           print this text
  --version        print the version

Exit codes: 0 planned stop, 1 failure while running, 2 usage, 3 bad settings
";

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_SETTINGS: u8 = 3;

/// What the command line asks for.
enum DaemonCommand {
    Help,
    Version,
    Run { settings: PathBuf, check_only: bool },
}

fn main() -> ExitCode {
    let command = match parse_arguments(std::env::args_os()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("anvilhubd: {error}; see `anvilhubd --help`");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match command {
        DaemonCommand::Help => print!("{HELP}"),
        DaemonCommand::Version => println!("anvilhubd {}", env!("CARGO_PKG_VERSION")),
        DaemonCommand::Run {
            settings,
            check_only,
        } => return run(&settings, check_only),
    }
    ExitCode::SUCCESS
}

fn parse_arguments(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<DaemonCommand, lexopt::Error> {
    use lexopt::prelude::*;

    let mut settings = None;
    let mut check_only = false;
    let mut parser = lexopt::Parser::from_iter(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long("check") => check_only = true,
            Long("help") | Short('h') => return Ok(DaemonCommand::Help),
            Long("version") | Short('V') => return Ok(DaemonCommand::Version),
            other => return Err(other.unexpected()),
        }
    }
    match settings {
        Some(settings) => Ok(DaemonCommand::Run {
            settings,
            check_only,
        }),
        None => Err("option `--settings FILE` is missing".into()),
    }
}

fn run(path: &std::path::Path, check_only: bool) -> ExitCode {
    let settings = match DaemonSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("anvilhubd: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if check_only {
        println!("settings of instance {} are valid", settings.instance);
        return ExitCode::SUCCESS;
    }
    match anvilhubd::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("anvilhubd: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
