//! Life cycle of an entry instance: `Learning -> Ready -> Draining -> Stopped`.
//!
//! The typestate is held by the thread that runs the daemon; every other thread reads the shared stage.

use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use derive_more::Display;

/// Stage that other threads read.
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

/// Shared copy of the stage.
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

/// An instance that waits for the sheet in force.
pub(crate) struct Learning;
/// An instance that serves callers.
pub(crate) struct Ready;
/// An instance that finishes its work before a planned stop.
pub(crate) struct Draining;
/// An instance that has finished its work.
pub(crate) struct Stopped;

/// Life cycle of the process, in the state `S`.
pub(crate) struct InstanceLifecycle<S> {
    stage: StageCell,
    state: PhantomData<S>,
}

impl<S> InstanceLifecycle<S> {
    fn advance<T>(self, stage: LifecycleStage) -> InstanceLifecycle<T> {
        self.stage.set(stage);
        InstanceLifecycle {
            stage: self.stage,
            state: PhantomData,
        }
    }

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

    /// A sheet is in force.
    pub(crate) fn serve(self) -> InstanceLifecycle<Ready> {
        self.advance(LifecycleStage::Ready)
    }

    /// The process was asked to stop before it served anyone.
    pub(crate) fn abandon(self) -> InstanceLifecycle<Stopped> {
        self.advance(LifecycleStage::Stopped)
    }
}

impl InstanceLifecycle<Ready> {
    pub(crate) fn drain(self) -> InstanceLifecycle<Draining> {
        self.advance(LifecycleStage::Draining)
    }
}

impl InstanceLifecycle<Draining> {
    pub(crate) fn stop(self) -> InstanceLifecycle<Stopped> {
        self.advance(LifecycleStage::Stopped)
    }
}
