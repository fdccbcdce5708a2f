use super::whole_number::whole_number;

whole_number! {
    /// Number of sub-requests that one or more upstreams run concurrently.
    SlotCount, u32
}
