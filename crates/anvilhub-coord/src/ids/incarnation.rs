use super::whole_number::whole_number;

whole_number! {
    /// Random number of a process that distinguishes it from earlier and later processes of the same instance.
    Incarnation, u64
}
