use super::number_id::number_id;

number_id! {
    /// Revision that the configuration service gives a value.
    PlatformRevision, u64
}
