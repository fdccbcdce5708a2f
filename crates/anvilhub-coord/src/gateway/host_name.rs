use crate::ids::text_id::text_id;

text_id! {
    /// Host name in a caller's request.
    HostName
}
