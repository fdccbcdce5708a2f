use super::number_id::number_id;

number_id! {
    /// Number of connections that an upstream accepts over all instances.
    ConnectionLimit, u32
}
