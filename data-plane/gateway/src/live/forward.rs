//! Forwarding of a successful response: an event stream event by event, anything else once it is complete.
//!
//! A response that is not a stream is buffered so that the client never gets a torn one with status 200.

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

/// Whether the response is a stream of server-sent events.
fn is_event_stream(head: &Parts) -> bool {
    head.headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

impl LiveRequest {
    /// Forwards a success to the client.
    pub(super) async fn forward(self, success: ServerResponse) -> Response<ResponseBody> {
        let mut response = Response::new(full(Bytes::new()));
        *response.status_mut() = success.head.status;
        *response.headers_mut() = success.head.headers.clone();
        strip_hop_by_hop(response.headers_mut());
        if !is_event_stream(&success.head) {
            return self.forward_buffered(success, response).await;
        }
        // The stream may end at another server, with another length.
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
