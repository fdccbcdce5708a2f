use super::number_id::number_id;

number_id! {
    /// Identifier of an index snapshot; a newer snapshot has a higher one.
    SnapshotId, u64
}
