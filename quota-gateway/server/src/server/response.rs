//! The responses that the gateway generates, and those that it forwards from servers.

use crate::body::response_body::ResponseBody;
use crate::body::MAX_BODY_BYTES;
use crate::engine::open_request::FinalResponse;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The response to a request that is rejected by the gateway itself.
pub struct Rejection {
    /// The status of the response.
    pub status: StatusCode,
    /// The text of its body.
    pub reason: String,
}

/// Rejects a request with status 400.
pub fn bad_request(reason: impl Into<String>) -> Rejection {
    Rejection { status: StatusCode::BAD_REQUEST, reason: reason.into() }
}

/// Rejects a body that is longer than [`MAX_BODY_BYTES`].
pub fn payload_too_large() -> Rejection {
    Rejection { status: StatusCode::PAYLOAD_TOO_LARGE, reason: format!("more than {MAX_BODY_BYTES} bytes") }
}

/// Rejects a body that arrives too slowly.
pub fn body_timeout() -> Rejection {
    Rejection { status: StatusCode::REQUEST_TIMEOUT, reason: "the body did not come in time".into() }
}

/// Converts the engine's final response to an HTTP response.
pub fn response_for(response: FinalResponse) -> Response<ResponseBody> {
    match response {
        FinalResponse::Served(served) => {
            let mut response = Response::new(served.body);
            if let Some(content_type) = served.content_type {
                response.headers_mut().insert(CONTENT_TYPE, content_type);
            }
            response
        }
        FinalResponse::Rejected { retry_after } => {
            let mut response =
                plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused, trying again is harmless");
            if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64())) {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        FinalResponse::Failed => plain_response(StatusCode::BAD_GATEWAY, "failed, it may have run"),
        FinalResponse::DeadlineExceeded => {
            plain_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time, it may have run")
        }
        FinalResponse::GatewayFault => {
            plain_response(StatusCode::INTERNAL_SERVER_ERROR, "the gateway failed, it may have run")
        }
    }
}

/// Creates a response whose body is one line of text.
pub fn plain_response(status: StatusCode, line: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(Bytes::from(format!("{line}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

/// Formats a response that is written outside hyper, to a request that is malformed or did not arrive in
/// time.
pub fn raw_rejection(status: StatusCode, reason: &str) -> Vec<u8> {
    let length = reason.len() + 1;
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{reason}\n"
    )
    .into_bytes()
}
