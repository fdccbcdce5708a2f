use rustix::process::Signal;

/// A signal that a test sends to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Requests a planned stop.
    Terminate,
    /// Requests a reload of the settings.
    Hangup,
    /// Kills the process at once.
    Kill,
    /// Pauses the process.
    Stop,
    /// Resumes a paused process.
    Continue,
}

impl From<ProcessSignal> for Signal {
    fn from(signal: ProcessSignal) -> Self {
        match signal {
            ProcessSignal::Terminate => Self::TERM,
            ProcessSignal::Hangup => Self::HUP,
            ProcessSignal::Kill => Self::KILL,
            ProcessSignal::Stop => Self::STOP,
            ProcessSignal::Continue => Self::CONT,
        }
    }
}
