use rustix::process::Signal;

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Asks for a planned stop.
    Terminate,
    /// Announces changed settings.
    Hangup,
    /// Ends the process at once.
    Kill,
    /// Pauses the process.
    Stop,
    /// Lets a paused process continue.
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
