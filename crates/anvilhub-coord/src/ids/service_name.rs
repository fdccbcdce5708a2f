use super::text_id::text_id;

text_id! {
    /// Name of a search service in the sheet.
    ServiceName
}
