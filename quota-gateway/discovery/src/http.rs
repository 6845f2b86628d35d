//! The subset of HTTP/1.1 that the discovery service uses: one request at a time per connection, and bodies
//! with a Content-Length.
//!
//! [`parse_request`] parses a request and bounds its size, and [`route`] checks its method and body. Each
//! fails with an [`HttpError`], which is sent as the response. Requests to the store's other processes use
//! [`encode_request`] and [`parse_response`].

mod error;
mod request;
mod response;
mod routes;

pub use error::HttpError;
pub use request::{encode_request, parse_request, HttpRequest, ParseOutcome, MAX_BODY_BYTES, MAX_HEAD_BYTES};
pub use response::{error_response, ok_response, parse_response, ResponseError};
pub use routes::{route, ApiRequest, ReplicationRequest, ReplicationResponse};
