use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// A rate in calls per second.
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
pub struct CallRate(pub f64);
