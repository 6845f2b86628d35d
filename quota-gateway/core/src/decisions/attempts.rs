//! The attempts of a request: sending, checking for lost ones, retrying and giving up.
//!
//! Retries add load. They are limited by a retry budget, and sent only if the class allows it and a response
//! can still come within the latency target.

use super::request::{Attempt, Request};
use super::server::{InFlightAttempt, Server, MIN_RESPONSE_TIMEOUT_TARGET_SHARE, RESPONSE_TIMEOUT_LATENCIES};
use super::timer::Timer;
use super::{Gateway, LOST_RETRY_TIMEOUTS};
use crate::api::{
    Action, AttemptNo, DeduplicationScope, Effect, Lifecycle, RequestId, ServerId, Status, Time,
};

/// Number of checks of an overdue attempt per response timeout.
const CHECKS_PER_TIMEOUT: f64 = 8.0;
/// Retry budget used by a retry after a broken connection; other retries use 1. At this cost, half of the
/// first attempts can be retried. A broken connection is detected at once and, unlike a rejection or a
/// timeout, is no sign of load: restarts and network faults break connections. If overloaded servers break
/// them, only the limits on attempts in flight protect those servers.
const BROKEN_CONNECTION_RETRY_COST: f64 = 0.2;

impl Gateway {
    /// Sets the timer for a request's deadline, one tick early so that the final response is in time.
    pub(super) fn set_deadline_timer(&self, id: RequestId, deadline: Time, actions: &mut Vec<Action>) {
        let early = Time(deadline.0.saturating_sub(self.settings.tick.as_nanos() as u64));
        actions.push(Action::Timer { at: early.max(self.now), token: Timer::Deadline(id).token() });
    }

    /// Returns whether a request's deadline was extended after the timer that has now expired was set.
    pub(super) fn has_more_time(&self, id: RequestId) -> bool {
        let early = self.now.after(2 * self.settings.tick);
        self.requests.get(&id).is_some_and(|request| request.body_in_flight || early < request.deadline)
    }

    /// Handles the complete transfer of a request's body to the server, which starts the request's timeout.
    pub(super) fn on_body_written(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        deadline: Time,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = request.class;
        let server = request.attempts.get(attempt.0 as usize).map(|attempt| attempt.server);
        self.customers.entry(request.customer).and_modify(|customer| customer.in_flight += 1);
        (request.body_in_flight, request.deadline) = (false, deadline);
        request.latency_deadline = now.after(self.settings.classes[class].latency_target).min(deadline);
        let response_due_at = now.after_secs(self.response_timeout(class));
        let server = server.and_then(|server| self.servers.get_mut(&server));
        let in_flight = server
            .and_then(|server| server.in_flight.iter_mut().find(|a| (a.id, a.attempt) == (id, attempt)));
        if let Some(in_flight) = in_flight {
            (in_flight.sent_at, in_flight.response_due_at) = (now, response_due_at);
            in_flight.body_in_transit = false;
        }
        self.set_deadline_timer(id, deadline, actions);
        actions.push(Action::Timer { at: response_due_at, token: Timer::Check(id).token() });
    }

    /// Sends the next attempt of a request.
    pub(super) fn send_attempt(&mut self, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let begin_by = self.requests.get(&id).and_then(|request| self.deduplication_window_end(request));
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = AttemptNo(request.attempts.len() as u32);
        request.attempts.push(Attempt { server, sent: now, end: None });
        let (class, deadline, customer) = (request.class, request.deadline, request.customer);
        let body_in_transit = request.body_in_flight;
        let response_due_at = now.after_secs(self.response_timeout(class));
        if let Some(server) = self.servers.get_mut(&server) {
            server.needs_probe = false;
            server.in_flight.push(InFlightAttempt {
                id,
                attempt,
                sent_at: now,
                response_due_at,
                mean_latency_at_send: self.mean_latency[class],
                slowest_overtaking_ratio: None,
                body_in_transit,
            });
            if server.warm_share(now, &self.settings) < 1.0 {
                server.slow_start_tokens -= 1.0;
            }
        }
        // An attempt whose body is still arriving does not count yet: the server has not begun to process it.
        if let Some(customer) = self.customers.get_mut(&customer).filter(|_| !body_in_transit) {
            customer.in_flight += 1;
        }
        self.recent_sends += 1.0;
        if attempt.0 == 0 {
            self.shedder.on_admitted(self.relative_cost(class));
        }
        actions.push(Action::Send { id, server, deadline, begin_by });
        actions.push(Action::Timer { at: response_due_at, token: Timer::Check(id).token() });
    }

    /// Seconds after which an unanswered attempt is overdue.
    pub(super) fn response_timeout(&self, class: usize) -> f64 {
        let by_latency = RESPONSE_TIMEOUT_LATENCIES * self.mean_latency[class];
        by_latency.max(MIN_RESPONSE_TIMEOUT_TARGET_SHARE * self.latency_target(class))
    }

    /// Ends a request: cancels its attempts in flight, and removes it once all attempts have ended.
    pub(super) fn finish_request(
        &mut self,
        id: RequestId,
        served: Option<AttemptNo>,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.open {
            request.open = false;
            for (number, attempt) in (0..).map(AttemptNo).zip(&request.attempts) {
                let is_other = attempt.end.is_none() && Some(number) != served;
                if is_other && self.settings.cancel && !request.streaming {
                    actions.push(Action::Cancel { id, attempt: number });
                }
            }
        }
        if !request.has_attempt_in_flight() {
            self.requests.remove(&id);
        }
    }

    /// Sends another attempt if the class, the retry budget and the time left allow it. Returns whether one
    /// was sent.
    pub(super) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        if !self.may_retry(id) {
            return false;
        }
        let Some(request) = self.requests.remove(&id) else { return false };
        let (server, cost) = (self.choose_server(&request), retry_cost(&request));
        self.requests.insert(id, request);
        let Some(server) = server else { return false };
        self.retry_budget -= cost;
        self.send_attempt(id, server, actions);
        true
    }

    /// Returns whether the retry budget, the number of attempts and the time left allow another attempt.
    fn may_retry(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            let in_time = self.now.after_secs(self.mean_latency[request.class]) < request.latency_deadline;
            let has_attempts_left = request.attempts.len() < self.settings.max_attempts as usize;
            let has_budget = self.retry_budget >= retry_cost(request);
            in_time && has_attempts_left && has_budget && request.open && !request.streaming
        })
    }

    /// Gives the final response when there is no further attempt: a rejection if a retry by the client is
    /// harmless, a failure otherwise.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.open && !r.streaming) else { return };
        let effect = self.settings.classes[request.class].effect;
        let is_harmless =
            matches!(effect, Effect::Safe | Effect::Keyed { group: DeduplicationScope::All, .. });
        if is_harmless || request.first_possibly_executed().is_none() {
            self.reject(id, self.default_retry_after_secs(request.class), actions);
        } else {
            actions.push(Action::Fail { id });
        }
        self.finish_request(id, None, actions);
    }

    /// Checks an overdue attempt. If its server does not respond at all or has lost the attempt, the attempt
    /// is hedged or cancelled. Otherwise it is checked again later, when that may have changed or the retry
    /// budget may have been refilled.
    pub(super) fn check_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.open && !r.streaming) else { return };
        let Some(last) = request.attempts.last().filter(|attempt| attempt.end.is_none()) else { return };
        let attempt = AttemptNo(request.attempts.len() as u32 - 1);
        let class = request.class;
        let server = self.servers.get(&last.server);
        let in_flight =
            server.and_then(|server| server.in_flight.iter().find(|a| (a.id, a.attempt) == (id, attempt)));
        let is_early = in_flight.is_some_and(|in_flight| self.now < in_flight.response_due_at);
        if is_early || self.settings.classes[class].effect == Effect::Unsafe {
            return;
        }
        let is_unresponsive = |server: &Server| {
            server.last_response_at < last.sent || server.info.lifecycle == Lifecycle::Unlisted
        };
        let is_given_up = server.is_none_or(is_unresponsive)
            || in_flight.is_some_and(|in_flight| in_flight.is_lost(self.now, LOST_RETRY_TIMEOUTS));
        if is_given_up && self.may_retry(id) {
            if self.settings.hedging && self.retry(id, actions) {
                return;
            }
            if self.settings.cancel && !self.settings.hedging {
                return actions.push(Action::Cancel { id, attempt });
            }
        }
        let again_at = self.now.after_secs(self.response_timeout(class) / CHECKS_PER_TIMEOUT);
        actions.push(Action::Timer { at: again_at, token: Timer::Check(id).token() });
    }
}

/// The retry budget that a retry uses, depending on how the previous attempt ended.
fn retry_cost(request: &Request) -> f64 {
    match request.attempts.last().and_then(|attempt| attempt.end) {
        Some(Status::Reset | Status::ConnectFailed) => BROKEN_CONNECTION_RETRY_COST,
        _ => 1.0,
    }
}
