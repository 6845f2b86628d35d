//! Header names of the protocol between clients, gateways and model servers, and the removal of hop-by-hop headers.

use hyper::header::{HeaderMap, HeaderName, CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

/// The id of a request, which its response repeats.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The signature of a server under its response. What lacks it does not come from the server itself.
pub const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
/// A server's promise that it has not executed the request and will not.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// The time that is left for a request, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-timeout-ms");
/// The incarnation of the server that a request is for; another one responds 421.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("x-expected-instance");
/// The load of a server, as `RUNNING,WAITING,SLOTS`.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// The id of the event after which a stream is resumed.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The size of a prompt, as `IN,OUT` in tokens.
pub const TOKEN_USAGE: &str = "x-token-usage";
/// The segments of a prompt, as `ID:TOKENS,...`.
pub const PREFIX_HASH: &str = "x-prefix-hash";
/// How long an idle connection may be kept, among other parameters.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 7] =
    [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Removes the hop-by-hop headers, and those that `Connection` names.
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
