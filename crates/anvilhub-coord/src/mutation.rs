//! Mutations: deliberate faults that each break a guarantee, to check that a test then fails.
//!
//! Mutations are compiled in only with the feature `mutations`. The environment variable `ANVILHUB_MUTATION` names
//! the active one.

/// Returns whether the mutation `name` is active.
#[cfg(feature = "mutations")]
pub fn is_active(name: &str) -> bool {
    std::env::var("ANVILHUB_MUTATION").is_ok_and(|active| active == name)
}

/// Returns whether the mutation `name` is active, which is never the case in a build without the feature.
#[cfg(not(feature = "mutations"))]
pub const fn is_active(_name: &str) -> bool {
    false
}
