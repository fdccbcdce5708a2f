//! Switches that each break one guarantee, to show that a test notices.
//!
//! They exist under the feature `mutations` only. The environment variable `ANVILHUB_MUTATION` names the
//! active one.

/// Says whether the mutation `name` is active.
#[cfg(feature = "mutations")]
pub fn is_active(name: &str) -> bool {
    std::env::var("ANVILHUB_MUTATION").is_ok_and(|active| active == name)
}

/// Says whether the mutation `name` is active: never in an ordinary build.
#[cfg(not(feature = "mutations"))]
pub const fn is_active(_name: &str) -> bool {
    false
}
