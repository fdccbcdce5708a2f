use super::number_id::number_id;

number_id! {
    /// Random number that distinguishes successive processes of one instance.
    Incarnation, u64
}
