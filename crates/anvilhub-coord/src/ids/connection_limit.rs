use super::number_id::number_id;

number_id! {
    /// Maximum number of connections that an upstream accepts from all instances together.
    ConnectionLimit, u32
}
