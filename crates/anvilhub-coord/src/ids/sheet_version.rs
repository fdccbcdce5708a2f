use super::number_id::number_id;

number_id! {
    /// Version of a sheet; a later sheet has a higher one.
    SheetVersion, u64
}
