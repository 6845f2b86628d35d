//! A request in flight: its attempts, and the channel for its final response.

use crate::upstream::request::{ServedResponse, UpstreamRequest};
use marblecroft_quota_gateway_core::{AttemptNo, NewRequest, ServerId, Time};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// The final response to a request.
pub enum FinalResponse {
    /// A server's response.
    Served(ServedResponse),
    /// The request was rejected before anything ran; the client may retry after this time.
    Rejected { retry_after: Duration },
    /// All attempts failed; the request may have run.
    Failed,
    /// The core decided on no response by the deadline.
    DeadlineExceeded,
    /// The core panicked while it handled the request.
    GatewayFault,
}

impl FinalResponse {
    /// The name of the kind of response in log events.
    pub fn name(&self) -> &'static str {
        match self {
            FinalResponse::Served(_) => "served",
            FinalResponse::Rejected { .. } => "rejected",
            FinalResponse::Failed => "failed",
            FinalResponse::DeadlineExceeded => "deadline exceeded",
            FinalResponse::GatewayFault => "gateway fault",
        }
    }
}

/// One attempt of a request.
pub struct Attempt {
    /// The server that the request is sent to.
    pub server: ServerId,
    /// The instant at which it was started, or at which the server had received all of a streamed body.
    pub sent_at: Time,
    /// The instant at which it times out; `None` while the request's body is being sent, and once a streamed
    /// response has begun.
    pub ends_at: Option<Time>,
    /// The task that runs it, while it is in flight.
    pub task: Option<AbortHandle>,
}

/// An attempt that was in flight and is about to end.
pub struct EndingAttempt {
    /// The instant at which it was started, or at which the server had received all of a streamed body.
    pub sent_at: Time,
    /// The task that ran it.
    pub task: AbortHandle,
}

/// A request that has no final response yet or still has attempts in flight.
pub struct OpenRequest {
    /// The request as passed to the core.
    pub request: NewRequest,
    /// The message for servers; shared with the attempts.
    pub upstream_request: Rc<UpstreamRequest>,
    /// The channel for the final response; `None` once the request is finished.
    responder: Option<oneshot::Sender<FinalResponse>>,
    /// All attempts so far, by number.
    pub attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// Creates a request without attempts.
    pub fn new(
        request: NewRequest,
        upstream_request: UpstreamRequest,
        responder: oneshot::Sender<FinalResponse>,
    ) -> OpenRequest {
        OpenRequest {
            request,
            upstream_request: Rc::new(upstream_request),
            responder: Some(responder),
            attempts: Vec::new(),
        }
    }

    /// Returns whether the final response was sent or the client has disconnected.
    pub fn is_finished(&self) -> bool {
        self.responder.is_none()
    }

    /// Returns whether the request is finished and no attempt is in flight.
    pub fn is_complete(&self) -> bool {
        self.is_finished() && self.attempts.iter().all(|attempt| attempt.task.is_none())
    }

    /// Marks the request as finished. Returns the channel of its response on the first call only.
    pub fn finish(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.upstream_request.is_finished.set(true);
        self.responder.take()
    }

    /// Returns the attempt with this number.
    pub fn attempt_mut(&mut self, attempt: AttemptNo) -> Option<&mut Attempt> {
        self.attempts.get_mut(attempt.0 as usize)
    }

    /// Marks an attempt as no longer in flight. Returns it on the first call only, so that it ends only once.
    pub fn end_attempt(&mut self, attempt: AttemptNo) -> Option<EndingAttempt> {
        let attempt = self.attempt_mut(attempt)?;
        attempt.task.take().map(|task| EndingAttempt { sent_at: attempt.sent_at, task })
    }
}
