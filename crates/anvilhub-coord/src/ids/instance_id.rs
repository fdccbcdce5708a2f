use super::text_id::text_id;

text_id! {
    /// Identifier of an entry instance.
    InstanceId
}
