use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::prelude::*;

/// Exit code of a failure while running.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code of a wrong command line.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of settings that cannot be used.
pub const EXIT_SETTINGS: u8 = 3;

/// What the command line of a daemon asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonCommand {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run, or only check the settings.
    Run {
        /// Settings file; the caller's default when the command line names none.
        settings: Option<PathBuf>,
        /// Whether to end after the check.
        check_only: bool,
    },
}

impl DaemonCommand {
    /// Reads the arguments of the process, the first of which is the program.
    ///
    /// # Errors
    ///
    /// Fails on an unknown option, or one without its value.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Self, lexopt::Error> {
        let mut settings = None;
        let mut check_only = false;
        let mut parser = lexopt::Parser::from_iter(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
                Long("check") => check_only = true,
                Long("help") | Short('h') => return Ok(Self::Help),
                Long("version") | Short('V') => return Ok(Self::Version),
                other => return Err(other.unexpected()),
            }
        }
        Ok(Self::Run {
            settings,
            check_only,
        })
    }
}
