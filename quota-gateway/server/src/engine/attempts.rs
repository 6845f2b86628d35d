//! The lifecycle of an attempt: started by an action of the core, ended by its response, its timer or a
//! cancellation.

use super::open_request::{Attempt, EndingAttempt, FinalResponse};
use super::timers::TimerKind;
use super::Engine;
use crate::upstream::request::{AttemptEnd, AttemptWindow, ServedResponse, UpstreamRequest};
use crate::upstream::ServerProcess;
use marblecroft_quota_gateway_core::{
    AttemptNo, Event, Outcome, PeerProcessEvent, RequestId, ServerId, Status, Time,
};
use std::pin::pin;
use std::time::Duration;
use tokio::task::spawn_local;
use tracing::debug;

impl Engine {
    /// Starts an attempt. It ends immediately if its deadline has passed, the maximum number of attempts has
    /// been made, the request already has its final response, or the server is not listed. Either way it gets
    /// one outcome.
    pub(super) fn start_attempt(&self, now: Time, id: RequestId, server: ServerId, window: AttemptWindow) {
        let mut requests = self.open.borrow_mut();
        let Some(open) = requests.get_mut(&id) else { return };
        let attempt = AttemptNo(open.attempts.len() as u32);
        // Limited by the request's deadline. A request without a deadline is still sending its body, and the
        // attempt has no time limit yet.
        let deadline = open.upstream_request.budget.deadline();
        let ends_at = deadline.map(|deadline| window.ends_at.map_or(deadline, |end| end.min(deadline)));
        let window = AttemptWindow { ends_at, ..window };
        let is_late = ends_at.is_some_and(|ends_at| ends_at <= now);
        let is_obsolete = open.is_finished() || is_late || open.attempts.len() >= self.max_attempts;
        let process = self.upstream.process_of(server).filter(|_| !is_obsolete);
        let request = &open.upstream_request;
        let task = process.and_then(|process| {
            let engine = self.weak_self.upgrade()?;
            let request = request.clone();
            let task = async move { engine.run_attempt(id, attempt, process, &request, window).await };
            Some(spawn_local(task).abort_handle())
        });
        let in_flight = task.is_some();
        debug!(trace = request.trace(), attempt = attempt.0, server = server.0, in_flight, "attempt started");
        open.attempts.push(Attempt { server, sent_at: now, ends_at, task });
        self.peer_links.send_event(|| PeerProcessEvent::Sent {
            customer: open.request.customer,
            plan: open.request.plan,
            gateways: open.request.gateways,
            units: if attempt.0 == 0 { open.request.units } else { 0.0 },
            server,
        });
        drop(requests);
        if !in_flight {
            let status = if is_obsolete { Status::NotSent } else { Status::ConnectFailed };
            self.on_ended(id, attempt, now, status.into());
        } else if let Some(ends_at) = ends_at {
            self.timers.set(ends_at, TimerKind::AttemptEnd(id, attempt));
        }
    }

    async fn run_attempt(
        &self,
        id: RequestId,
        attempt: AttemptNo,
        process: ServerProcess,
        request: &UpstreamRequest,
        window: AttemptWindow,
    ) {
        let on_stream = |response: ServedResponse| self.on_stream_started(id, attempt, response);
        let mut end = pin!(self.upstream.attempt(process, request, window, on_stream));
        if let Some(body) = request.body.as_streamed() {
            tokio::select! {
                biased;
                () = body.delivered() => self.on_body_written(id, attempt),
                end = end.as_mut() => return self.on_attempt_ended(id, attempt, end),
            }
        }
        self.on_attempt_ended(id, attempt, end.await);
    }

    /// A server has received the last byte of a streamed body, so the client's timeout starts now.
    fn on_body_written(&self, id: RequestId, attempt: AttemptNo) {
        let now = self.clock.now();
        let mut requests = self.open.borrow_mut();
        let Some(open) = requests.get_mut(&id) else { return };
        open.upstream_request.budget.on_complete(Duration::ZERO);
        let deadline = open.upstream_request.budget.latest_deadline();
        if let Some(attempt) = open.attempt_mut(attempt) {
            (attempt.sent_at, attempt.ends_at) = (now, Some(deadline));
        }
        drop(requests);
        self.timers.set(deadline, TimerKind::ResponseDeadline(id));
        self.timers.set(deadline, TimerKind::AttemptEnd(id, attempt));
        self.post(Event::BodyWritten { id, attempt, deadline });
    }

    /// A streamed response has begun: it is the final response, and no timer limits the attempt any more.
    fn on_stream_started(&self, id: RequestId, attempt: AttemptNo, response: ServedResponse) {
        if let Some(open) = self.open.borrow_mut().get_mut(&id) {
            if let Some(attempt) = open.attempt_mut(attempt) {
                attempt.ends_at = None;
            }
        }
        self.post(Event::StreamStarted { id, attempt });
        self.respond(id, FinalResponse::Served(response));
    }

    /// Aborts an attempt that has timed out. Its end may have been moved since the timer was set.
    pub(super) fn on_attempt_timer(&self, id: RequestId, attempt: AttemptNo) {
        let mut requests = self.open.borrow_mut();
        let ends_at = requests.get_mut(&id).and_then(|open| open.attempt_mut(attempt)?.ends_at);
        drop(requests);
        if ends_at.is_some_and(|ends_at| ends_at <= self.clock.now()) {
            self.abort_attempt(id, attempt, Status::TimedOut);
        }
    }

    /// Ends an attempt that is in flight by closing its connection.
    pub(super) fn abort_attempt(&self, id: RequestId, attempt: AttemptNo, status: Status) {
        if let Some(EndingAttempt { sent_at, task }) = self.take_in_flight(id, attempt) {
            task.abort();
            self.on_ended(id, attempt, sent_at, status.into());
        }
    }

    /// Handles an attempt that has run to its end. The first complete response is the final one.
    fn on_attempt_ended(&self, id: RequestId, attempt: AttemptNo, mut end: AttemptEnd) {
        if end.status == Status::Cancelled {
            // The client disconnected during its response. Reported while the attempt is still in flight; the
            // outcome of the attempt follows.
            self.post(Event::ClientDisconnected(id));
        }
        if let Some(EndingAttempt { sent_at, .. }) = self.take_in_flight(id, attempt) {
            if let Some(response) = end.response.take() {
                self.respond(id, FinalResponse::Served(response));
            }
            self.on_ended(id, attempt, sent_at, end);
        }
    }

    fn take_in_flight(&self, id: RequestId, attempt: AttemptNo) -> Option<EndingAttempt> {
        self.open.borrow_mut().get_mut(&id)?.end_attempt(attempt)
    }

    /// Reports the outcome of an attempt that is no longer in flight.
    fn on_ended(&self, id: RequestId, attempt: AttemptNo, sent_at: Time, end: AttemptEnd) {
        let elapsed = Duration::from_nanos(self.clock.now().0.saturating_sub(sent_at.0));
        let not_retryable = self.record_end(id, attempt, elapsed, end.status);
        if let Some(cell) = end.moved_to_cell {
            self.post(Event::PlacementMoved { id, cell });
        }
        self.post(Event::Outcome(Outcome {
            id,
            attempt,
            status: end.status,
            elapsed,
            // Set when the event is handled.
            finished: false,
            metered_use: end.metered_use,
            actual_units: None,
            report: end.load_report,
            not_retryable,
        }));
    }

    /// Updates the budget and notifies the other processes of this gateway. Returns whether the attempt
    /// consumed the body, so that no further attempt is possible.
    fn record_end(&self, id: RequestId, attempt: AttemptNo, elapsed: Duration, status: Status) -> bool {
        let requests = self.open.borrow();
        let Some(open) = requests.get(&id) else { return false };
        open.upstream_request.budget.begin_wait();
        debug!(
            trace = open.upstream_request.trace(),
            attempt = attempt.0,
            status = ?status,
            elapsed_us = elapsed.as_micros() as u64,
            "attempt ended"
        );
        if let Some(&Attempt { server, .. }) = open.attempts.get(attempt.0 as usize) {
            let (customer, answered) = (open.request.customer, status == Status::Ok);
            self.peer_links.send_event(|| PeerProcessEvent::Ended { customer, server, answered });
        }
        open.upstream_request.body.as_streamed().is_some_and(|body| body.is_consumed())
    }
}
