use super::whole_number::whole_number;

whole_number! {
    /// Number of the platform's history of revisions. It rises when the platform is restored from a copy, which gives out
    /// revisions again.
    PlatformEra, u64
}
