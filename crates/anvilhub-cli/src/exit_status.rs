use std::process::ExitCode;

/// Result of a command, which determines its exit code. The codes are stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The command succeeded with a positive result.
    Success,
    /// The command succeeded with a negative result, such as a sheet with faults.
    Negative,
    /// The arguments are invalid, a file cannot be read, or the output cannot be written.
    InvalidInput,
    /// An instance or the platform cannot be reached.
    Unreachable,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Success => ExitCode::SUCCESS,
            ExitStatus::Negative => ExitCode::from(1),
            ExitStatus::InvalidInput => ExitCode::from(2),
            ExitStatus::Unreachable => ExitCode::from(3),
        }
    }
}
