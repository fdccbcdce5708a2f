use super::text_id::text_id;

text_id! {
    /// Name of a caller that services list as served.
    CallerName
}
