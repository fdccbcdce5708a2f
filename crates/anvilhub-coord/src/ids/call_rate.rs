use super::real_number::real_number;

real_number! {
    /// A rate in calls per second.
    CallRate
}
