use super::whole_number::whole_number;

whole_number! {
    /// Identifier of an index snapshot; a newer snapshot has a higher one.
    SnapshotId, u64
}
