use super::whole_number::whole_number;

whole_number! {
    /// Random number of one observed crash of an upstream.
    CrashId, u64
}
