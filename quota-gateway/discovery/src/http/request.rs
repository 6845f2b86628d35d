//! Parsing of requests to the service, and encoding of requests to other processes.

use super::error::HttpError;

/// The maximum length of the request line and headers, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
/// The maximum length of a request's body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 10;

/// The maximum number of header lines of a message.
pub(super) const MAX_HEADER_LINES: usize = 32;

/// A request, before it is routed.
#[derive(Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method.
    pub method: String,
    /// The path of the target, without the query.
    pub path: String,
    /// The query, without its question mark; empty if there is none.
    pub query: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
}

/// The result of parsing the received bytes.
#[derive(Debug, PartialEq, Eq)]
pub enum ParseOutcome {
    /// The bytes are the beginning of a request.
    Incomplete,
    /// The bytes begin with this request; the number is its length in bytes.
    Complete(HttpRequest, usize),
    /// The request is invalid. The start of the next one is unknown, so the connection must be closed.
    Invalid(HttpError),
}

/// Parses a request from the beginning of the received bytes.
pub fn parse_request(bytes: &[u8]) -> ParseOutcome {
    match parse(bytes) {
        Ok(Some((request, length))) => ParseOutcome::Complete(request, length),
        Ok(None) => ParseOutcome::Incomplete,
        Err(error) => ParseOutcome::Invalid(error),
    }
}

fn parse(bytes: &[u8]) -> Result<Option<(HttpRequest, usize)>, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut request = httparse::Request::new(&mut lines);
    let head_length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Err(HttpError::new(431, "the head is too long"));
        }
        Err(e) => return Err(HttpError::new(400, format!("the head cannot be read: {e}"))),
    };
    let Framing { body_length, closes } = framing(request.headers)?;
    if body_length > MAX_BODY_BYTES {
        return Err(HttpError::new(413, format!("the body is longer than {MAX_BODY_BYTES} bytes")));
    }
    let length = head_length + body_length;
    let Some(body) = bytes.get(head_length..length) else { return Ok(None) };
    let target = request.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let request = HttpRequest {
        method: request.method.unwrap_or_default().to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        body: body.to_vec(),
        keep_alive: request.version == Some(1) && !closes,
    };
    Ok(Some((request, length)))
}

/// The length of the body, and whether the connection closes after the message, as the headers state.
struct Framing {
    body_length: usize,
    closes: bool,
}

fn framing(headers: &[httparse::Header<'_>]) -> Result<Framing, HttpError> {
    let mut body_length = None;
    let mut closes = false;
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or_default().trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let is_number = value.bytes().all(|b| b.is_ascii_digit());
            let Some(length) = is_number.then(|| value.parse::<usize>().ok()).flatten() else {
                return Err(HttpError::new(400, "content-length: no whole number"));
            };
            if body_length.replace(length).is_some() {
                return Err(HttpError::new(400, "content-length: comes more than once"));
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(HttpError::new(400, "transfer-encoding: bodies come with their length here"));
        } else if header.name.eq_ignore_ascii_case("connection") {
            closes |= value.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
        }
    }
    Ok(Framing { body_length: body_length.unwrap_or(0), closes })
}

/// Encodes a request to another process of the store. The connection is closed after the response.
pub fn encode_request(method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: list\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}
