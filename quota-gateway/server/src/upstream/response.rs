//! Reading a server's response.
//!
//! A short response is used only when it is complete: an incomplete rejection does not prove that the request
//! was not executed, and a part of a 200 response is useless. Another attempt is possible until the response
//! to the client has begun. A long response is streamed to the client as soon as it is known to be long.

use super::pool::PooledConnection;
use super::request::{AttemptEnd, ServedResponse, UpstreamRequest};
use super::{ServerProcess, Upstream};
use crate::body::request_body::Delivery;
use crate::body::response_body::{Chunk, ResponseBody};
use crate::body::{next_data, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::request_budget::RequestBudget;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use marblecroft_quota_gateway_core::Status;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

/// The header by which a server declares that it did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-never-ran");
/// The longest gap within a short response of known length. A server that pauses for longer may keep its
/// connection open forever.
const SHORT_BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// A response of unknown length that is not complete after this time is streamed.
const MAX_BUFFERING_TIME: Duration = Duration::from_millis(150);
/// The longest gap within a streamed response. It is longer, because the client has already received a part.
const STREAM_TIMEOUT: Duration = Duration::from_secs(10);

/// The result of reading the start of a response body.
enum BodyStart {
    /// The complete body.
    Complete(Bytes),
    /// The first bytes of a long body.
    Partial(Bytes),
    /// The body ended prematurely or stalled.
    Incomplete,
}

impl Upstream {
    /// Reads the response to an attempt. A streamed response is passed to `on_stream` when it begins, and is
    /// forwarded to its end.
    pub(super) async fn read_response(
        &self,
        process: ServerProcess,
        connection: PooledConnection,
        request: &UpstreamRequest,
        response: Response<Incoming>,
        on_stream: impl Fn(ServedResponse),
    ) -> AttemptEnd {
        let (head, mut body) = response.into_parts();
        let mut end = AttemptEnd {
            metered_use: self.load_reports.metered_use(&head.headers),
            load_report: self.load_reports.load_report(&head.headers),
            ..status_of(&head).into()
        };
        // The status is sufficient for an error: the body is not read, and the connection is closed.
        if end.status == Status::Error {
            return end;
        }
        let length = body.size_hint().exact();
        let start = if is_readable(&head.headers, length) {
            read_short(&mut body, &request.budget).await
        } else {
            BodyStart::Incomplete
        };
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        match start {
            BodyStart::Complete(bytes) => {
                if end.status == Status::Ok {
                    end.response = Some(ServedResponse { body: bytes.into(), content_type });
                }
            }
            BodyStart::Partial(start) if end.status == Status::Ok => {
                let (chunks, streamed) = ResponseBody::streamed(length);
                on_stream(ServedResponse { body: streamed, content_type });
                end.status = forward(start, body, &chunks).await;
                if end.status == Status::Reset {
                    request.budget.on_response_truncated();
                }
                self.on_activity(process);
            }
            // A rejection that is incomplete or too long does not prove that the request was not executed.
            BodyStart::Partial(_) | BodyStart::Incomplete => end.status = Status::Reset,
        }
        // If a part of the request is unsent, the server would read the next request as the rest of this one.
        if matches!(end.status, Status::Ok | Status::Rejected) && request.delivery() == Delivery::Complete {
            self.put_back(process, connection);
        }
        end
    }
}

/// The status that the head alone implies.
fn status_of(head: &Parts) -> Status {
    let is_not_executed = head.headers.get(NOT_EXECUTED).is_some_and(|value| value == "1");
    match head.status {
        StatusCode::OK => Status::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_not_executed => Status::Rejected,
        _ => Status::Error,
    }
}

/// Returns whether the body can be read: it is not too long, and its regular end can be distinguished from a
/// lost connection. A body that ends with the connection may be truncated, unless the server announced the
/// close.
fn is_readable(headers: &HeaderMap, length: Option<u64>) -> bool {
    match length {
        Some(length) => length <= MAX_BODY_BYTES as u64,
        None => headers.contains_key(TRANSFER_ENCODING) || closes_connection(headers),
    }
}

/// Returns whether the server announced that it closes the connection after the response.
fn closes_connection(headers: &HeaderMap) -> bool {
    let is_close = |value: &HeaderValue| {
        value
            .to_str()
            .is_ok_and(|text| text.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")))
    };
    headers.get_all(CONNECTION).iter().any(is_close)
}

/// Reads a response until it is complete or turns out to be long.
async fn read_short(body: &mut Incoming, budget: &RequestBudget) -> BodyStart {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64) {
        return BodyStart::Partial(Bytes::new());
    }
    let buffer_until = Instant::now() + budget.limit_wait(MAX_BUFFERING_TIME);
    let mut received = Vec::new();
    loop {
        let max_wait = if length.is_some() {
            budget.limit_wait(SHORT_BODY_TIMEOUT)
        } else {
            buffer_until.saturating_duration_since(Instant::now())
        };
        match timeout(max_wait, next_data(body)).await {
            Ok(Ok(Some(data))) => received.extend_from_slice(&data),
            Ok(Ok(None)) => return BodyStart::Complete(received.into()),
            Err(_) if length.is_none() => return BodyStart::Partial(received.into()),
            Ok(Err(_)) | Err(_) => return BodyStart::Incomplete,
        }
        if received.len() > MAX_BUFFERED_BYTES {
            return BodyStart::Partial(received.into());
        }
    }
}

/// Forwards a streamed response to its end and returns the resulting status.
async fn forward(start: Bytes, mut body: Incoming, chunks: &Sender<Chunk>) -> Status {
    let mut next = Some(start).filter(|start| !start.is_empty());
    loop {
        if let Some(data) = next.take() {
            if chunks.send(Chunk::Data(data)).await.is_err() {
                return Status::Cancelled;
            }
        }
        tokio::select! {
            read = timeout(STREAM_TIMEOUT, next_data(&mut body)) => match read {
                Ok(Ok(Some(data))) => next = Some(data),
                Ok(Ok(None)) => break,
                // Dropping the sender marks the response as incomplete for the client.
                Ok(Err(_)) | Err(_) => return Status::Reset,
            },
            () = chunks.closed() => return Status::Cancelled,
        }
    }
    // The receiver may already have been dropped if the announced length was delivered.
    let _ = chunks.send(Chunk::End).await;
    Status::Ok
}
