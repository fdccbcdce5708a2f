use std::alloc::System;

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

/// Measures the heap bytes of a value with the counting allocator of the program `anvilhub-capacity`. In programs
/// that use another allocator every result is zero.
#[derive(Clone, Copy, Debug)]
pub struct HeapMeter;

impl HeapMeter {
    /// The counting allocator.
    pub const ALLOCATOR: &'static StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

    /// Returns the value that `make` creates and the heap bytes that stay allocated for it.
    pub fn measure_bytes<T>(make: impl FnOnce() -> T) -> (T, f64) {
        let region = Region::new(Self::ALLOCATOR);
        let value = make();
        let change = region.change();
        // Reallocations are already included in the allocated or deallocated bytes.
        let held_bytes = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
        (value, held_bytes)
    }
}
