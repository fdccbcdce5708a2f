use super::number_id::number_id;

number_id! {
    /// Random number of a process that distinguishes it from earlier and later processes of the same instance.
    Incarnation, u64
}
