use std::sync::atomic::AtomicBool;

use anvilhub_coord::ids::{ByteSize, RequestFingerprint};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};

/// Headers that concern a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Headers that name the caller.
const CALLER_HEADERS: [HeaderName; 2] = [header::AUTHORIZATION, header::COOKIE];

/// Length of the colon, the space and the line end of a header line.
const HEADER_SEPARATORS_LEN: usize = 4;

/// A caller's request as it is sent to upstreams: same method, target and body, and the headers that may be
/// forwarded.
pub(super) struct ForwardedRequest {
    pub(super) id: HeaderValue,
    /// What makes two requests the same, whichever attempt of a caller and whichever instance they are.
    pub(super) fingerprint: RequestFingerprint,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Whether the log has a line that the request was passed over.
    pub(super) is_passing_logged: AtomicBool,
}

impl ForwardedRequest {
    /// Builds the HTTP request to send; `add_headers` adds the headers that are specific to its recipient.
    pub(super) fn to_request(
        &self,
        add_headers: impl FnOnce(&mut HeaderMap),
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        add_headers(request.headers_mut());
        request
    }

    /// Returns the approximate size of the request on the network.
    pub(super) fn size(&self) -> ByteSize {
        let target_len = self
            .target
            .path_and_query()
            .map_or(1, |path| path.as_str().len());
        let head_len = self.method.as_str().len() + target_len + headers_len(&self.headers);
        ByteSize((head_len + self.body.len()) as u64)
    }
}

/// Computes the fingerprint of a request: method, host, path and query, caller and body. Other headers and the caller's
/// address may differ between the attempts of one caller.
pub(super) fn compute_fingerprint(
    method: &Method,
    target: &Uri,
    headers: &HeaderMap,
    body: &[u8],
) -> RequestFingerprint {
    let header_value = |name: &HeaderName| {
        let value = headers.get(name);
        value.map_or(&[][..], HeaderValue::as_bytes)
    };
    let target = target.path_and_query().map_or("/", PathAndQuery::as_str);
    let callers = CALLER_HEADERS.iter().map(header_value);
    let parts = [
        method.as_str().as_bytes(),
        header_value(&header::HOST),
        target.as_bytes(),
    ];
    RequestFingerprint::compute(parts.into_iter().chain(callers).chain([body]))
}

/// Returns the length of the header lines.
pub(super) fn headers_len(headers: &HeaderMap) -> usize {
    let line_len = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_SEPARATORS_LEN
    };
    headers.iter().map(line_len).sum()
}

/// Removes the hop-by-hop headers, including those that `Connection` names, and `Content-Length`, which the HTTP
/// library writes.
pub(super) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}
