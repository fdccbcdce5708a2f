use super::text_id::text_id;

text_id! {
    /// Name of a shard within its service.
    ShardName
}
