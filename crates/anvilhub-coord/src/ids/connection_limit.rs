use super::whole_number::whole_number;

whole_number! {
    /// Maximum number of connections that an upstream accepts from all instances together.
    ConnectionLimit, u32
}
