use crate::ids::text_id::text_id;

text_id! {
    /// Host that a caller names in its request.
    HostName
}
