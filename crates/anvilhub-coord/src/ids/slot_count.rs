use super::number_id::number_id;

number_id! {
    /// Number of sub-requests that an upstream runs concurrently.
    SlotCount, u32
}
