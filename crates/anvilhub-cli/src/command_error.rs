use std::io;
use std::path::PathBuf;

use anvilhub_coord::sheet::SheetFault;
use derive_more::{Display, Error, From};

use crate::exit_status::ExitStatus;

/// Result of a command.
pub(crate) type Result<T, E = CommandError> = std::result::Result<T, E>;

/// Error of a command.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CommandError {
    /// The arguments are invalid.
    #[display("{reason}; run with --help for the usage")]
    #[from(skip)]
    InvalidArguments {
        #[error(not(source))]
        reason: String,
    },
    /// An option is invalid.
    #[display("{_0}; run with --help for the usage")]
    InvalidOption(lexopt::Error),
    /// A file cannot be read.
    #[display("cannot read {}: {source}; check the path and its permissions", path.display())]
    #[from(skip)]
    UnreadableFile { path: PathBuf, source: io::Error },
    /// A sheet that must be valid has faults.
    #[display("{} has {} faults; correct them first, `anvilhub check` lists them", path.display(), faults.len())]
    #[from(skip)]
    FaultySheet {
        path: PathBuf,
        #[error(not(source))]
        faults: Vec<SheetFault>,
    },
    /// An instance or the platform does not answer, or not as expected. `address` contains the requested path.
    #[display(
        "{address} does not answer as expected: {reason}; check the address and the instance's log"
    )]
    #[from(skip)]
    Unreachable { address: String, reason: String },
    /// The output cannot be written.
    #[display("cannot write the output: {_0}; check the pipe or the disk")]
    UnwritableOutput(io::Error),
}

impl CommandError {
    /// Creates an error for invalid arguments.
    pub(crate) fn invalid_arguments(reason: impl Into<String>) -> Self {
        Self::InvalidArguments {
            reason: reason.into(),
        }
    }

    /// Returns the exit status of a command that fails with this error.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Self::FaultySheet { .. } => ExitStatus::Negative,
            Self::Unreachable { .. } => ExitStatus::Unreachable,
            _ => ExitStatus::InvalidInput,
        }
    }
}
