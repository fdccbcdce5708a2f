use super::text_id::text_id;

text_id! {
    /// Failure domain of an instance or an upstream.
    FailureDomain
}
