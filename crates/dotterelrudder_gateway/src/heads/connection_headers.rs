//! Hop-by-hop headers, which are not forwarded.

use http::header::CONNECTION;
use http::HeaderMap;

/// Hop-by-hop headers, in addition to those that the `Connection` header names.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Removes the hop-by-hop headers.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|n| n.trim().to_ascii_lowercase()))
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in CONNECTION_HEADERS {
        headers.remove(*name);
    }
}
