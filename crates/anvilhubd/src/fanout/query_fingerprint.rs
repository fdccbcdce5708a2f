use anvilhub_coord::ids::{RequestFingerprint, ServiceName};

/// Computes the fingerprint of a query: what its sub-requests have in common at the upstreams, which do not learn the
/// caller.
pub(crate) fn fingerprint_query(
    service: &ServiceName,
    key: Option<u64>,
    query: &str,
) -> RequestFingerprint {
    let key = key.map(u64::to_be_bytes);
    let key = key.as_ref().map_or(&[][..], |key| &key[..]);
    RequestFingerprint::compute([service.as_str().as_bytes(), key, query.as_bytes()])
}
