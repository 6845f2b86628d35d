//! Encoding of the service's responses, and parsing of responses from other processes.

use super::error::{single_line, HttpError};
use super::request::MAX_HEADER_LINES;
use std::error::Error;
use std::fmt;

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Error",
    }
}

fn connection_header(keep_alive: bool) -> &'static str {
    if keep_alive {
        ""
    } else {
        "Connection: close\r\n"
    }
}

/// Encodes a response with a JSON body.
pub fn ok_response(body: &[u8], keep_alive: bool) -> Vec<u8> {
    let connection = connection_header(keep_alive);
    let mut response = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{connection}\r\n",
        body.len()
    )
    .into_bytes();
    response.extend_from_slice(body);
    response
}

/// Encodes the response for an error. Its body is the reason in one line.
pub fn error_response(error: &HttpError, keep_alive: bool) -> Vec<u8> {
    let connection = connection_header(keep_alive);
    let retry_after =
        error.retry_after.map(|seconds| format!("Retry-After: {seconds}\r\n")).unwrap_or_default();
    let (status, phrase, reason) = (error.status, reason_phrase(error.status), &error.reason);
    format!(
        "HTTP/1.1 {status} {phrase}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n{retry_after}{connection}\r\n{reason}\n",
        reason.len() + 1
    )
    .into_bytes()
}

/// The reason why a response has no usable body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// Its head cannot be parsed.
    Malformed,
    /// The connection ended before its body did.
    Truncated,
    /// Its status is not 200.
    Status {
        /// The status; 0 if there is none.
        status: u16,
        /// The beginning of the body.
        reason: String,
    },
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResponseError::Malformed => write!(f, "a response whose head cannot be read"),
            ResponseError::Truncated => write!(f, "a truncated response"),
            ResponseError::Status { status, reason } => write!(f, "response with status {status}: {reason}"),
        }
    }
}

impl Error for ResponseError {}

/// Returns the body of a response with status 200.
pub fn parse_response(bytes: &[u8]) -> Result<&[u8], ResponseError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut response = httparse::Response::new(&mut lines);
    let Ok(httparse::Status::Complete(head)) = response.parse(bytes) else {
        return Err(ResponseError::Malformed);
    };
    let length = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let length =
        length.and_then(|header| std::str::from_utf8(header.value).ok()?.trim().parse::<usize>().ok());
    let body = length.and_then(|length| bytes.get(head..)?.get(..length));
    match (response.code, body) {
        (Some(200), Some(body)) => Ok(body),
        (Some(200), None) => Err(ResponseError::Truncated),
        (status, body) => {
            let reason = body.map(|body| single_line(&String::from_utf8_lossy(body))).unwrap_or_default();
            Err(ResponseError::Status { status: status.unwrap_or(0), reason: reason.trim().to_owned() })
        }
    }
}
