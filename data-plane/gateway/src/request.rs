//! Clients' requests, buffered completely before they are dispatched.
//!
//! Buffering costs memory and the overlap of upload and processing; it buys that any request can be sent to a second server,
//! and that no server slot waits for a slow client.

use crate::body::ResponseBody;
use crate::reply::local_reply;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The time in which a body must have come.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with its complete body.
pub struct BufferedRequest {
    /// The method.
    pub method: Method,
    /// The request target.
    pub uri: Uri,
    /// All headers, as they were received.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// When the last byte had come.
    pub received_at: Instant,
}

impl BufferedRequest {
    /// Reads a request's body, of at most `max_body_bytes`.
    ///
    /// # Errors
    ///
    /// The reply to a client whose body is too long, breaks off, or does not come in time.
    pub async fn read(
        request: Request<Incoming>,
        max_body_bytes: usize,
    ) -> Result<BufferedRequest, Response<ResponseBody>> {
        let (head, body) = request.into_parts();
        match timeout(BODY_TIMEOUT, Limited::new(body, max_body_bytes).collect()).await {
            Ok(Ok(body)) => Ok(BufferedRequest {
                method: head.method,
                uri: head.uri,
                headers: head.headers,
                body: body.to_bytes(),
                received_at: Instant::now(),
            }),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                Err(local_reply(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"))
            }
            Ok(Err(_)) => Err(local_reply(StatusCode::BAD_REQUEST, "the body did not come whole")),
            Err(_) => Err(local_reply(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
        }
    }

    /// Returns a header's value, where it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the host that the request names; empty where it names none.
    pub fn host(&self) -> &str {
        self.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default()
    }
}
