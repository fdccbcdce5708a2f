use super::whole_number::whole_number;

whole_number! {
    /// Revision that the platform assigns to a value.
    PlatformRevision, u64
}
