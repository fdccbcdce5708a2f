use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::prelude::*;

/// Exit code of a failure while running.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code of an invalid command line.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of settings that cannot be used.
pub const EXIT_SETTINGS: u8 = 3;

/// Parsed command line of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonCommand {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run the daemon, or only check its settings.
    Run {
        /// Path of the settings file, `None` when the command line names none.
        settings_path: Option<PathBuf>,
        /// Whether to exit after checking the settings.
        check_only: bool,
    },
}

impl DaemonCommand {
    /// Parses the arguments of the process, the first of which is the name of the program.
    ///
    /// # Errors
    ///
    /// Fails when an option is unknown or lacks its value.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Self, lexopt::Error> {
        let mut settings_path = None;
        let mut check_only = false;
        let mut parser = lexopt::Parser::from_iter(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("settings") => settings_path = Some(PathBuf::from(parser.value()?)),
                Long("check") => check_only = true,
                Long("help") | Short('h') => return Ok(Self::Help),
                Long("version") | Short('V') => return Ok(Self::Version),
                other => return Err(other.unexpected()),
            }
        }
        Ok(Self::Run {
            settings_path,
            check_only,
        })
    }
}
