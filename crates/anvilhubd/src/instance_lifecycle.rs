//! Life cycle of an entry instance: `Learning -> Ready -> Draining -> Stopped`.
//!
//! The thread that runs the daemon holds the life cycle, whose type is the current state. Other threads read the
//! stage from a `StageCell`.

use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use derive_more::Display;

/// Stage of the life cycle, as other threads read it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum LifecycleStage {
    #[display("learning")]
    Learning,
    #[display("ready")]
    Ready,
    #[display("draining")]
    Draining,
    #[display("stopped")]
    Stopped,
}

/// The stage, shared between threads.
#[derive(Clone, Debug)]
pub(crate) struct StageCell(Arc<AtomicU8>);

impl StageCell {
    pub(crate) fn get(&self) -> LifecycleStage {
        match self.0.load(Ordering::Acquire) {
            0 => LifecycleStage::Learning,
            1 => LifecycleStage::Ready,
            2 => LifecycleStage::Draining,
            _ => LifecycleStage::Stopped,
        }
    }

    fn set(&self, stage: LifecycleStage) {
        self.0.store(stage as u8, Ordering::Release);
    }
}

/// State of an instance that does not serve callers yet.
pub(crate) struct Learning;
/// State of an instance that serves callers.
pub(crate) struct Ready;
/// State of an instance that finishes its running requests before a planned stop.
pub(crate) struct Draining;
/// State of an instance that has finished its work.
pub(crate) struct Stopped;

/// Life cycle of the process, in the state `S`.
pub(crate) struct InstanceLifecycle<S> {
    stage: StageCell,
    state: PhantomData<S>,
}

impl<S> InstanceLifecycle<S> {
    fn transition<T>(self, stage: LifecycleStage) -> InstanceLifecycle<T> {
        self.stage.set(stage);
        InstanceLifecycle {
            stage: self.stage,
            state: PhantomData,
        }
    }

    /// Returns the shared stage, which follows every transition.
    pub(crate) fn stage(&self) -> StageCell {
        self.stage.clone()
    }
}

impl InstanceLifecycle<Learning> {
    pub(crate) fn new() -> Self {
        let stage = StageCell(Arc::new(AtomicU8::new(LifecycleStage::Learning as u8)));
        Self {
            stage,
            state: PhantomData,
        }
    }

    /// Starts to serve callers. The daemon calls this once a sheet is in force, the gateway at once: its readiness also
    /// depends on the first configuration and list of upstreams.
    pub(crate) fn serve(self) -> InstanceLifecycle<Ready> {
        self.transition(LifecycleStage::Ready)
    }

    /// Stops before any caller was served.
    pub(crate) fn abandon(self) -> InstanceLifecycle<Stopped> {
        self.transition(LifecycleStage::Stopped)
    }
}

impl InstanceLifecycle<Ready> {
    /// Starts to drain after a planned stop was requested.
    pub(crate) fn drain(self) -> InstanceLifecycle<Draining> {
        self.transition(LifecycleStage::Draining)
    }
}

impl InstanceLifecycle<Draining> {
    /// Stops after the running requests have finished.
    pub(crate) fn stop(self) -> InstanceLifecycle<Stopped> {
        self.transition(LifecycleStage::Stopped)
    }
}
