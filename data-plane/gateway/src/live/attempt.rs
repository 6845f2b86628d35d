//! One attempt of a live request: placement, sending, and handling of the response head.

use super::request::LiveRequest;
use crate::body::{full, ResponseBody};
use crate::headers::{strip_hop_by_hop, LAST_EVENT_ID, TIMEOUT_MS};
use crate::in_flight::{InFlightAttempt, LiveRequestGuard};
use crate::upstream::{
    AttemptError, Connection, ResponseClass, ResponsePolicy, SentRequest, UpstreamResponse,
};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::Response;
use marblecroft_protocol::servers::Server;
use marblecroft_routing::balance::PlacementRequest;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// If a server sends nothing for this time, its machine may have failed. If the route allows
/// another attempt, the request continues at another server.
pub(super) const FRAME_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size of a response that is buffered.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 32 << 20;
/// Time limit for reading the rest of a response that declines the request. If it is exceeded, the
/// connection is not reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

/// Result of an attempt.
pub(super) enum AttemptOutcome {
    /// A 2xx response from the server itself. Its body has not been read yet.
    Success(Box<ServerResponse>),
    /// Any other response from the server itself, read completely. It is forwarded to the client.
    Response(Response<ResponseBody>),
    /// The request was not executed and will not be.
    NotExecuted,
    /// The request may have been executed, and there is no usable response.
    MayHaveExecuted,
}

/// A live request at a server. Counted as in flight at the server and as a live request.
pub(super) struct LiveAttempt {
    // Dropped in the order of declaration.
    in_flight: InFlightAttempt,
    _live_guard: LiveRequestGuard,
}

impl LiveAttempt {
    /// Returns the server.
    pub(super) fn server(&self) -> &Server {
        self.in_flight.server()
    }
}

/// A response from the server itself, whose body has not been read yet.
pub(super) struct ServerResponse {
    /// Keeps the request counted as in flight until the body has been read.
    pub(super) attempt: LiveAttempt,
    pub(super) head: Parts,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
}

impl LiveRequest {
    /// Makes one attempt at the best server. Returns `None` if no server or no time is left. With
    /// `resume_after`, the server is asked to begin the response after that event.
    pub(super) async fn attempt(&mut self, resume_after: Option<u64>) -> Option<AttemptOutcome> {
        let placement = PlacementRequest {
            service: &self.service,
            prefix_key: self.prompt.prefix_key(),
            attempted: &self.attempted,
            max_occupancy: f64::INFINITY,
        };
        let server = self.gateway.balancer.borrow_mut().choose(&placement, self.gateway.now())?;
        let time_left = self.deadline.checked_duration_since(Instant::now())?;
        self.attempted.push(server.id.clone());
        self.set_attempt_headers(time_left, resume_after);
        let attempt = LiveAttempt {
            in_flight: InFlightAttempt::new(&self.gateway, server, &self.prompt),
            _live_guard: LiveRequestGuard::new(&self.gateway),
        };
        let head_timeout = if self.may_retry_after_this() { FRAME_TIMEOUT.min(time_left) } else { time_left };
        let may_send = || self.gateway.balancer.borrow().is_available(&attempt.server().id);
        let sending = self.gateway.pool.send(attempt.server(), &self.request, may_send);
        let sent = timeout(head_timeout, sending).await.unwrap_or(Err(AttemptError::MayHaveExecuted));
        Some(match sent {
            Ok(response) => self.on_response(attempt, response).await,
            Err(cause) => {
                self.gateway.on_attempt_failed(&self.id, attempt.server(), cause);
                match cause {
                    AttemptError::NotSent => AttemptOutcome::NotExecuted,
                    AttemptError::MayHaveExecuted => AttemptOutcome::MayHaveExecuted,
                }
            }
        })
    }

    /// Sets the headers that differ between attempts.
    fn set_attempt_headers(&mut self, time_left: Duration, resume_after: Option<u64>) {
        let headers = &mut self.request.headers;
        let timeout_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX).max(1);
        headers.insert(TIMEOUT_MS, HeaderValue::from(timeout_ms));
        if let Some(last_event) = resume_after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(last_event));
        }
    }

    /// Handles the response according to the classification of its head.
    async fn on_response(&self, attempt: LiveAttempt, response: UpstreamResponse) -> AttemptOutcome {
        let UpstreamResponse { response, connection, is_reused } = response;
        let (head, body) = response.into_parts();
        let sent = SentRequest { id: &self.id, on_reused_connection: is_reused };
        let class = self.gateway.on_response(ResponsePolicy::LIVE, &head, &sent, attempt.server());
        match class {
            ResponseClass::NotExecuted => {
                self.drain_response(attempt.server(), connection, &head.headers, body).await;
                AttemptOutcome::NotExecuted
            }
            ResponseClass::Success => {
                AttemptOutcome::Success(Box::new(ServerResponse { attempt, head, body, connection }))
            }
            ResponseClass::Error(status) if !status.is_informational() => {
                self.relay(ServerResponse { attempt, head, body, connection }).await
            }
            ResponseClass::Error(_) | ResponseClass::Untrusted => AttemptOutcome::MayHaveExecuted,
        }
    }

    /// Reads a response completely and returns it for forwarding to the client.
    async fn relay(&self, response: ServerResponse) -> AttemptOutcome {
        let ServerResponse { attempt, head, body, connection } = response;
        let Some(bytes) = self.read_buffered(body).await else { return AttemptOutcome::MayHaveExecuted };
        self.gateway.pool.put_back(attempt.server(), connection, &head.headers, self.max_connections());
        let mut response = Response::new(full(bytes));
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        strip_hop_by_hop(response.headers_mut());
        AttemptOutcome::Response(response)
    }

    /// Reads a body to its end. Returns `None` if it is too long, is truncated, or does not arrive
    /// before the deadline.
    pub(super) async fn read_buffered(&self, body: Incoming) -> Option<Bytes> {
        let limited = Limited::new(body, MAX_BUFFERED_RESPONSE_BYTES);
        let collected = timeout_at(self.deadline, limited.collect()).await;
        collected.ok()?.ok().map(|body| body.to_bytes())
    }

    /// Reads the rest of a response that declines the request, so that its connection can be
    /// reused.
    async fn drain_response(
        &self,
        server: &Server,
        connection: Connection,
        headers: &HeaderMap,
        body: Incoming,
    ) {
        if let Ok(Ok(_)) = timeout(DRAIN_TIMEOUT, body.collect()).await {
            self.gateway.pool.put_back(server, connection, headers, self.max_connections());
        }
    }
}
