//! `anvilhubd`, an entry instance of the anvilhub query tier.

use std::process::ExitCode;

use anvilhubd::{DaemonCommand, DaemonSettings, EXIT_FAILURE, EXIT_SETTINGS, EXIT_USAGE};

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

fn main() -> ExitCode {
    match DaemonCommand::parse(std::env::args_os()) {
        Ok(DaemonCommand::Help) => print!("{HELP}"),
        Ok(DaemonCommand::Version) => println!("anvilhubd {}", env!("CARGO_PKG_VERSION")),
        Ok(DaemonCommand::Run {
            settings_path: Some(path),
            check_only,
        }) => return run(&path, check_only),
        Ok(DaemonCommand::Run {
            settings_path: None,
            ..
        }) => {
            return usage_error(&"option `--settings FILE` is missing");
        }
        Err(error) => return usage_error(&error),
    }
    ExitCode::SUCCESS
}

fn usage_error(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("anvilhubd: {error}; see `anvilhubd --help`");
    ExitCode::from(EXIT_USAGE)
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
