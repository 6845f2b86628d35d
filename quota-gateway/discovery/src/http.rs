//! The HTTP/1.1 of the discovery service: one request at a time on a connection, bodies with a Content-Length.
//!
//! A request passes [`parse_request`], which bounds its size, and [`route`], which checks its method and body; each answers
//! with an [`HttpError`] that is sent as it is. Replicas use [`encode_request`] and [`parse_response`].

mod error;
mod request;
mod response;
mod routes;

pub use error::HttpError;
pub use request::{encode_request, parse_request, HttpRequest, ParseOutcome, MAX_BODY_BYTES, MAX_HEAD_BYTES};
pub use response::{error_response, ok_response, parse_response, ResponseError};
pub use routes::{route, ApiRequest, ReplicationRequest, ReplicationResponse};
