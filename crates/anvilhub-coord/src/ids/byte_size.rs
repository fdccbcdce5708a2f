use super::whole_number::whole_number;

whole_number! {
    /// A size in bytes.
    ByteSize, u64
}
