use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// Processor time that an instance may use, in cores.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    PartialOrd,
    Display,
    From,
    Into,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct CoreShare(pub f64);

impl CoreShare {
    /// The plain number.
    pub fn get(self) -> f64 {
        self.0
    }
}
