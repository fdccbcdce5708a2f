use super::whole_number::whole_number;

whole_number! {
    /// Version of a sheet; a later sheet has a higher one.
    SheetVersion, u64
}
