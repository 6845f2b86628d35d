//! Header names of the protocol between clients, gateways and model servers, and removal of
//! hop-by-hop headers.

use hyper::header::{HeaderMap, HeaderName, CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

/// Id of a request, which the response repeats.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Signature of a server over its response. A response without it was not produced by the server
/// itself.
pub const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
/// A server's promise that it has not executed the request and will not.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// Remaining time for a request, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-timeout-ms");
/// Server incarnation that a request is for. Any other incarnation responds with status 421.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("x-expected-instance");
/// Load of a server, as `RUNNING,WAITING,SLOTS`.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// Id of the event after which a stream is resumed.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Size of a prompt, as `IN,OUT` in tokens.
pub const TOKEN_USAGE: &str = "x-token-usage";
/// Segments of a prompt, as `ID:TOKENS,...`.
pub const PREFIX_HASH: &str = "x-prefix-hash";
/// Parameters of persistent connections, among them the time for which an idle one is kept open.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 7] =
    [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Removes the hop-by-hop headers, and the headers listed in `Connection`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let nominated: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in nominated.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

#[cfg(test)]
mod tests;
