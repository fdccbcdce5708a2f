use super::number_id::number_id;

number_id! {
    /// Number of sub-requests that one or more upstreams run concurrently.
    SlotCount, u32
}
