use crate::ids::CallRate;

/// What the head of an upstream's answer says about its limit of requests from all instances together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The answer names no limit.
    #[default]
    Absent,
    /// The answer names something that is not a rate. It is no evidence for or against a limit.
    Malformed,
    /// The answer names this limit.
    Rate(CallRate),
}

impl StatedLimit {
    /// Parses the text of a limit in requests a second. Accepts finite numbers that are not negative.
    pub fn parse(text: &str) -> Self {
        match text.trim().parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Self::Rate(CallRate(rate)),
            Ok(_) | Err(_) => Self::Malformed,
        }
    }
}
