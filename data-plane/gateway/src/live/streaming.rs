//! Forwarding of event streams, and resumption at another server.
//!
//! Only complete events are forwarded to the client. If a stream is interrupted or stalls, the
//! next attempt asks another server to continue after the last forwarded event (`Last-Event-Id`),
//! and its events follow in the same response. This requires that servers generate the same events
//! for the same request. Routes that permit executing a request twice guarantee this.

use super::attempt::{AttemptOutcome, ServerResponse, FRAME_TIMEOUT};
use super::request::{LiveRequest, DEFAULT_TIMEOUT, MAX_REJECTIONS};
use crate::body::ChunkSender;
use crate::upstream::{EventStream, StreamStep};
use marblecroft_routing::balance::ServerOutcome;
use std::io;
use tracing::debug;

/// How the part of a stream that came from one server ended.
enum StreamEnd {
    Complete,
    Broken,
    ClientDisconnected,
}

impl LiveRequest {
    /// Forwards events from one server after the other, as far as the route allows.
    pub(super) async fn forward_stream(mut self, success: ServerResponse, chunks: ChunkSender) {
        let mut next = Some(success);
        let mut last_event = None;
        while let Some(success) = next.take() {
            match self.forward_events(success, &chunks, &mut last_event).await {
                StreamEnd::Complete | StreamEnd::ClientDisconnected => return,
                StreamEnd::Broken => {}
            }
            self.executions += 1;
            next = self.resume(last_event).await;
        }
        debug!(id = %self.id, "event stream was interrupted and could not be resumed");
        // Sending fails if the client has disconnected, and then no error is needed.
        let _ =
            chunks.send(Err(io::Error::other("event stream was interrupted and could not be resumed"))).await;
    }

    /// Makes attempts to resume the stream after `last_event`. Returns `None` if the route allows
    /// no further attempt or there is no server.
    async fn resume(&mut self, last_event: Option<u64>) -> Option<ServerResponse> {
        while self.may_retry() && self.rejections < MAX_REJECTIONS {
            match self.attempt(last_event).await {
                Some(AttemptOutcome::Success(success)) => return Some(*success),
                Some(AttemptOutcome::NotExecuted) => self.rejections += 1,
                Some(AttemptOutcome::MayHaveExecuted) => self.executions += 1,
                Some(AttemptOutcome::Response(_)) | None => return None,
            }
        }
        None
    }

    /// Forwards the events of one server, and updates `last_event` with the id of each complete
    /// event.
    async fn forward_events(
        &self,
        success: ServerResponse,
        chunks: &ChunkSender,
        last_event: &mut Option<u64>,
    ) -> StreamEnd {
        let ServerResponse { attempt, head, body, connection } = success;
        let mut stream = EventStream::new(body);
        let mut is_first = last_event.is_none();
        loop {
            let frame_timeout = if self.may_retry_after_this() { FRAME_TIMEOUT } else { DEFAULT_TIMEOUT };
            let step = tokio::select! {
                step = stream.next(frame_timeout) => step,
                () = chunks.closed() => return StreamEnd::ClientDisconnected,
            };
            match step {
                StreamStep::Frame => {}
                StreamStep::Complete => {
                    let max_connections = self.max_connections();
                    self.gateway.pool.put_back(attempt.server(), connection, &head.headers, max_connections);
                    return StreamEnd::Complete;
                }
                StreamStep::Broken => return StreamEnd::Broken,
                StreamStep::TimedOut => {
                    self.gateway.record_outcome(attempt.server(), ServerOutcome::Failed);
                    return StreamEnd::Broken;
                }
            }
            let mut bytes = Vec::new();
            while let Some(event) = stream.next_event() {
                bytes.extend_from_slice(&event.bytes);
                *last_event = event.id.or(*last_event);
            }
            if stream.is_overlong() {
                return StreamEnd::Broken;
            }
            if bytes.is_empty() {
                continue;
            }
            if std::mem::take(&mut is_first) {
                self.record_latency(self.received_at.elapsed());
            }
            if chunks.send(Ok(bytes.into())).await.is_err() {
                return StreamEnd::ClientDisconnected;
            }
        }
    }
}
