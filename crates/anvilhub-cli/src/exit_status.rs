use std::process::ExitCode;

/// How a command ended. The codes are stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The command did what was asked and the answer is positive.
    Success,
    /// The command did what was asked and the answer is negative, such as a sheet with faults.
    Negative,
    /// The arguments are wrong or a file cannot be read.
    Usage,
    /// An instance or the platform cannot be reached.
    Unreachable,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Success => ExitCode::SUCCESS,
            ExitStatus::Negative => ExitCode::from(1),
            ExitStatus::Usage => ExitCode::from(2),
            ExitStatus::Unreachable => ExitCode::from(3),
        }
    }
}
