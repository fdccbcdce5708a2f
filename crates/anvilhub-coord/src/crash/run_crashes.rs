use super::CrashVerdict;

/// Whether an attempt of a request may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendVerdict {
    /// It may be sent.
    Send,
    /// It has to wait until a single attempt has shown whether the request crashes upstreams.
    Hold,
    /// The request must not be sent any more.
    Refuse,
}

/// Decides how carefully the attempts of one request are sent.
///
/// Designed for a gathered request that crashes an upstream of each shard at once: after the first crash, or from the
/// start if the request is suspected, one attempt goes ahead and the others wait for its outcome. An upstream that has run
/// the request to its end clears it, since the request would have crashed that one too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunCrashes {
    state: RunState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    /// Nothing speaks against the request.
    Unsuspected,
    /// The next attempt is the trial.
    Suspected,
    /// The trial has not ended.
    OnTrial,
    /// An upstream has run the request to its end.
    Cleared,
    /// The trial has crashed its upstream, or the request is blamed.
    Refused,
}

impl RunCrashes {
    /// Creates the state of a request of which this is believed when it arrives.
    pub fn new(verdict: CrashVerdict) -> Self {
        let state = match verdict {
            CrashVerdict::Unsuspected => RunState::Unsuspected,
            CrashVerdict::Suspected => RunState::Suspected,
            CrashVerdict::Blamed { .. } => RunState::Refused,
        };
        Self { state }
    }

    /// Returns whether an attempt may be sent.
    pub fn verdict(&self) -> SendVerdict {
        match self.state {
            RunState::Unsuspected | RunState::Suspected | RunState::Cleared => SendVerdict::Send,
            RunState::OnTrial => SendVerdict::Hold,
            RunState::Refused => SendVerdict::Refuse,
        }
    }

    /// Records that an attempt is sent. Returns whether it is the trial.
    pub fn record_send(&mut self) -> bool {
        let is_trial = self.state == RunState::Suspected;
        if is_trial {
            self.state = RunState::OnTrial;
        }
        is_trial
    }

    /// Records that an upstream crashed while it held an attempt. `is_trial` is whether that was the trial.
    pub fn record_crash(&mut self, is_trial: bool) {
        self.state = match self.state {
            RunState::OnTrial if is_trial => RunState::Refused,
            RunState::Unsuspected => RunState::Suspected,
            state => state,
        };
    }

    /// Records that an upstream ran an attempt to its end.
    pub fn record_completion(&mut self) {
        self.state = RunState::Cleared;
    }

    /// Records that an attempt ended without showing anything. `is_trial` is whether that was the trial.
    pub fn record_other_end(&mut self, is_trial: bool) {
        if is_trial && self.state == RunState::OnTrial {
            self.state = RunState::Suspected;
        }
    }
}
