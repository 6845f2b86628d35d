//! Forwarding of successful responses: event streams event by event, all others after they have
//! been read completely.
//!
//! Responses that are not event streams are buffered, so that the client never gets a truncated
//! response with status 200.

use super::attempt::ServerResponse;
use super::request::LiveRequest;
use crate::body::{full, stream, ResponseBody};
use crate::headers::strip_hop_by_hop;
use crate::reply::local_reply;
use hyper::body::Bytes;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use tokio::task::spawn_local;

/// Returns whether the response is a stream of server-sent events.
fn is_event_stream(head: &Parts) -> bool {
    head.headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

impl LiveRequest {
    /// Forwards a successful response to the client.
    pub(super) async fn forward(self, success: ServerResponse) -> Response<ResponseBody> {
        let mut response = Response::new(full(Bytes::new()));
        *response.status_mut() = success.head.status;
        *response.headers_mut() = success.head.headers.clone();
        strip_hop_by_hop(response.headers_mut());
        if !is_event_stream(&success.head) {
            return self.forward_buffered(success, response).await;
        }
        // The stream may be completed by another server and then have a different length.
        response.headers_mut().remove(CONTENT_LENGTH);
        let (chunks, body) = stream();
        *response.body_mut() = body;
        spawn_local(self.forward_stream(success, chunks));
        response
    }

    async fn forward_buffered(
        self,
        success: ServerResponse,
        mut response: Response<ResponseBody>,
    ) -> Response<ResponseBody> {
        let ServerResponse { attempt, head, body, connection } = success;
        let Some(bytes) = self.read_buffered(body).await else {
            return local_reply(StatusCode::BAD_GATEWAY, "the server broke off");
        };
        self.gateway.pool.put_back(attempt.server(), connection, &head.headers, self.max_connections());
        self.record_latency(self.received_at.elapsed());
        *response.body_mut() = full(bytes);
        response
    }
}
