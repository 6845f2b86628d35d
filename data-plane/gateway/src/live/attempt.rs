//! One attempt of a live request: placement, sending, and what follows from the response's head.

use super::request::LiveRequest;
use crate::body::{full, ResponseBody};
use crate::headers::{strip_hop_by_hop, LAST_EVENT_ID, TIMEOUT_MS};
use crate::in_flight::{InFlightAttempt, LiveConcurrency};
use crate::upstream::{AttemptError, Connection, ResponsePolicy, UpstreamResponse, Verdict};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::Response;
use marblecroft_protocol::servers::Server;
use marblecroft_routing::balance::PlacementRequest;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};
use tracing::debug;

/// A server that sends nothing for so long may be gone with its machine. Where the route allows another attempt, the request
/// goes on at another server.
pub(super) const FRAME_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest response that is buffered.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 32 << 20;
/// The time in which the rest of a declining response must come, for its connection to be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

/// What an attempt came to.
pub(super) enum AttemptOutcome {
    /// A 2xx of the server's own, whose body is still to be read.
    Success(Box<ServerResponse>),
    /// Another response of the server's own, complete. The client gets it as it is.
    Response(Response<ResponseBody>),
    /// The request was not executed, and will not be.
    NotExecuted,
    /// The request may have been executed, and there is no usable response.
    MayHaveExecuted,
}

/// A live request at a server, counted there and as live.
pub(super) struct LiveAttempt {
    // Dropped in this order.
    placed: InFlightAttempt,
    _concurrency: LiveConcurrency,
}

impl LiveAttempt {
    /// The server.
    pub(super) fn server(&self) -> &Server {
        self.placed.server()
    }
}

/// A response of the server's own, with a body that is still to be read.
pub(super) struct ServerResponse {
    /// Keeps the request counted until the body has been read.
    pub(super) attempt: LiveAttempt,
    pub(super) head: Parts,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
}

impl LiveRequest {
    /// Makes one attempt at the best server; `None` where there is none left, or no time. With `resume_after` the response
    /// is to begin after that event.
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
            placed: InFlightAttempt::new(&self.gateway, server, &self.prompt),
            _concurrency: LiveConcurrency::enter(&self.gateway),
        };
        let head_timeout = if self.may_retry_after_this() { FRAME_TIMEOUT.min(time_left) } else { time_left };
        let may_send = || self.gateway.balancer.borrow().is_available(&attempt.server().id);
        let sending = self.gateway.pool.send(attempt.server(), &self.request, may_send);
        match timeout(head_timeout, sending).await {
            Ok(Ok(response)) => Some(self.on_response(attempt, response).await),
            Ok(Err(cause)) => {
                debug!(id = %self.id, server = %attempt.server().id, ?cause, "attempt failed");
                self.gateway.on_attempt_failed(attempt.server());
                Some(match cause {
                    AttemptError::NotSent => AttemptOutcome::NotExecuted,
                    AttemptError::MayHaveExecuted => AttemptOutcome::MayHaveExecuted,
                })
            }
            Err(_) => {
                self.gateway.on_attempt_failed(attempt.server());
                Some(AttemptOutcome::MayHaveExecuted)
            }
        }
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

    /// Handles the head of a response by its verdict.
    async fn on_response(&self, attempt: LiveAttempt, response: UpstreamResponse) -> AttemptOutcome {
        let UpstreamResponse { response, connection } = response;
        let (head, body) = response.into_parts();
        let verdict = ResponsePolicy::LIVE.judge_and_record(
            &head,
            &self.id,
            &attempt.server().id,
            &mut self.gateway.balancer.borrow_mut(),
            self.gateway.now(),
        );
        match verdict {
            Verdict::NotExecuted => {
                self.drain_response(attempt.server(), connection, &head.headers, body).await;
                AttemptOutcome::NotExecuted
            }
            Verdict::Success => {
                AttemptOutcome::Success(Box::new(ServerResponse { attempt, head, body, connection }))
            }
            Verdict::Error(status) if !status.is_informational() => {
                self.relay(ServerResponse { attempt, head, body, connection }).await
            }
            Verdict::Error(_) | Verdict::Untrusted => AttemptOutcome::MayHaveExecuted,
        }
    }

    /// Reads a response that the client gets as it is.
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

    /// Reads a body to its end; `None` where it is too long, breaks off, or does not come before the deadline.
    pub(super) async fn read_buffered(&self, body: Incoming) -> Option<Bytes> {
        let limited = Limited::new(body, MAX_BUFFERED_RESPONSE_BYTES);
        let collected = timeout_at(self.deadline, limited.collect()).await;
        collected.ok()?.ok().map(|body| body.to_bytes())
    }

    /// Reads the rest of a declining response, so that its connection can be reused.
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
