use super::text_id::text_id;

text_id! {
    /// Name of a caller, as listed by the services that serve it.
    CallerName
}
