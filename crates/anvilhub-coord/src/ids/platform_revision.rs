use super::number_id::number_id;

number_id! {
    /// Revision that the platform assigns to a value.
    PlatformRevision, u64
}
