use super::text_id::text_id;

text_id! {
    /// Identifier of an upstream, unique within a sheet.
    UpstreamId
}
