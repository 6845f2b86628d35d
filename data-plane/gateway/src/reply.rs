//! Responses that the gateway itself generates.

use crate::body::{full, ResponseBody};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Returns a response with one line of text.
pub fn local_reply(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(full(format!("{text}\n")));
    *response.status_mut() = status;
    response
}

/// Returns a rejection, which promises that the request has not been executed and never will be.
/// `retry_after` is in seconds.
pub fn rejection(status: StatusCode, text: &str, retry_after: &str) -> Response<ResponseBody> {
    let mut response = local_reply(status, text);
    if let Ok(value) = HeaderValue::from_str(retry_after) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns a JSON document with status 200.
pub fn json(body: String) -> Response<ResponseBody> {
    let mut response = Response::new(full(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
