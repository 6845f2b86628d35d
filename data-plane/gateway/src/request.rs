//! Client requests, which are buffered completely before they are dispatched.
//!
//! Buffering costs memory and prevents processing during the upload. In return, any request can be
//! sent to a second server, and no server slot is held for a slow client.

use crate::body::ResponseBody;
use crate::reply::local_reply;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Time limit for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with its complete body.
pub struct BufferedRequest {
    /// The method.
    pub method: Method,
    /// The request target.
    pub uri: Uri,
    /// All headers, as received.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Time at which the complete body had been received.
    pub received_at: Instant,
}

impl BufferedRequest {
    /// Reads the body of a request, up to `max_body_bytes`.
    ///
    /// # Errors
    ///
    /// Returns the reply to send to the client if the body is too long, is truncated, or does not
    /// arrive in time.
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

    /// Returns the value of a header, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the `Host` header, or an empty string if there is none.
    pub fn host(&self) -> &str {
        self.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default()
    }
}
