use super::number_id::number_id;

number_id! {
    /// A size in bytes.
    ByteSize, u64
}
