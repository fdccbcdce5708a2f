use std::alloc::System;

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

/// Heap bytes of a value, counted by the allocator of the program `anvilhub-capacity`. Other programs use
/// another allocator, and there every count is zero.
#[derive(Clone, Copy, Debug)]
pub struct HeapMeter;

impl HeapMeter {
    /// The allocator that counts.
    pub const ALLOCATOR: &'static StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

    /// The value that `make` returns, and the heap bytes that stay allocated for it.
    pub fn bytes_of<T>(make: impl FnOnce() -> T) -> (T, f64) {
        let region = Region::new(Self::ALLOCATOR);
        let value = make();
        let change = region.change();
        // A reallocation is counted among the allocated or the deallocated bytes already.
        let held = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
        (value, held)
    }
}
