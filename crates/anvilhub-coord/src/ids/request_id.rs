use super::text_id::text_id;

text_id! {
    /// Identifier of a caller's request or of a sub-request.
    RequestId
}
