//! The HTTP/1.1 of the discovery service: one request at a time on a connection, bodies with a Content-Length.
//!
//! A request passes [`parse_request`], which bounds its size, and [`route`], which checks its method and body; each answers
//! with an [`HttpError`] that is sent as it is. Replicas use [`encode_request`] and [`parse_response`].

mod request;
mod response;
mod routes;

pub use request::{encode_request, parse_request, HttpRequest, ParseOutcome, MAX_BODY_BYTES, MAX_HEAD_BYTES};
pub use response::{error_response, ok_response, parse_response, HttpError, ResponseError};
pub use routes::{route, ApiRequest, ReplicationRequest, ReplicationResponse};

/// The most header lines that are parsed.
const MAX_HEADER_LINES: usize = 32;

/// Returns the beginning of a text without control characters, which a caller may have put there to forge lines.
fn single_line(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).take(200).collect()
}
