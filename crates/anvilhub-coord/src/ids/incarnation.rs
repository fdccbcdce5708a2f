use super::number_id::number_id;

number_id! {
    /// Random number that tells two runs of one instance apart.
    Incarnation, u64
}
