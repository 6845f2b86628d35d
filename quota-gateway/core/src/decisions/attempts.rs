//! Attempts of a request: sent, looked at again, retried, given up.
//!
//! Retries are load, so they are budgeted (a retry budget), and sent only while an answer can still come
//! within the latency target and the class allows it.

use super::request::{Attempt, Request};
use super::server::{InFlightAttempt, Server, DOUBT_LATENCIES, MIN_DOUBT_TARGET_SHARE};
use super::timer::Timer;
use super::{Gateway, LOST_IS_RETRIED};
use crate::api::{
    Action, AttemptNo, DeduplicationScope, Effect, Lifecycle, RequestId, ServerId, Status, Time,
};

/// Times that an attempt is looked at again within the time after which its server is doubted (ours).
const CHECKS_PER_TIMEOUT: f64 = 8.0;
/// What a retry after a broken connection takes from the budget, where another one takes 1 (ours: half of the
/// first attempts may need one). A break comes at once and is no sign of load, as a rejection or a time-out
/// is. Covers networks and servers that cut connections, as restarts do; hurts where overloaded servers cut
/// them, which the limits on attempts in flight must then hold alone.
const BROKEN_CONNECTION_RETRY_COST: f64 = 0.2;

impl Gateway {
    /// Sets the timer by which a request must have its final answer.
    pub(super) fn set_deadline_timer(&self, id: RequestId, deadline: Time, actions: &mut Vec<Action>) {
        let early = Time(deadline.0.saturating_sub(self.settings.tick.as_nanos() as u64));
        actions.push(Action::Timer { at: early.max(self.now), token: Timer::Deadline(id).token() });
    }

    /// Whether a request has more time than was known when its deadline's timer was set.
    pub(super) fn has_more_time(&self, id: RequestId) -> bool {
        let early = self.now.after(2 * self.settings.tick);
        self.requests.get(&id).is_some_and(|request| request.body_in_flight || early < request.deadline)
    }

    /// Handles that the server has all of a request's body now: its time begins.
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
        let doubted_at = now.after_secs(self.response_timeout(class));
        let server = server.and_then(|server| self.servers.get_mut(&server));
        let in_flight = server
            .and_then(|server| server.in_flight.iter_mut().find(|a| (a.id, a.attempt) == (id, attempt)));
        if let Some(in_flight) = in_flight {
            (in_flight.sent_at, in_flight.doubted_at) = (now, doubted_at);
            in_flight.body_in_transit = false;
        }
        self.set_deadline_timer(id, deadline, actions);
        actions.push(Action::Timer { at: doubted_at, token: Timer::Check(id).token() });
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
        let doubted_at = now.after_secs(self.response_timeout(class));
        if let Some(server) = self.servers.get_mut(&server) {
            server.is_owed_request = false;
            server.in_flight.push(InFlightAttempt {
                id,
                attempt,
                sent_at: now,
                doubted_at,
                mean_latency_at_send: self.mean_latency[class],
                slowest_overtaking_pace: None,
                body_in_transit,
            });
            if server.warm_share(now, &self.settings) < 1.0 {
                server.slow_start_tokens -= 1.0;
            }
        }
        // One whose body is on its way is not in flight yet: the server has not begun.
        if let Some(customer) = self.customers.get_mut(&customer).filter(|_| !body_in_transit) {
            customer.in_flight += 1;
        }
        self.recent_sends += 1.0;
        if attempt.0 == 0 {
            self.shedder.on_admitted(self.relative_cost(class));
        }
        actions.push(Action::Send { id, server, deadline, begin_by });
        actions.push(Action::Timer { at: doubted_at, token: Timer::Check(id).token() });
    }

    /// Seconds after which an attempt's server is doubted.
    pub(super) fn response_timeout(&self, class: usize) -> f64 {
        let by_latency = DOUBT_LATENCIES * self.mean_latency[class];
        by_latency.max(MIN_DOUBT_TARGET_SHARE * self.latency_target(class))
    }

    /// Ends a request: cancels the attempts that are in flight, and forgets it when all have ended.
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

    /// Sends another attempt, if the class allows it, the budget holds it and it can come in time. Returns
    /// whether it did.
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

    /// Whether the retry budget and the time that is left allow another attempt.
    fn may_retry(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            let in_time = self.now.after_secs(self.mean_latency[request.class]) < request.latency_deadline;
            let has_attempts_left = request.attempts.len() < self.settings.max_attempts as usize;
            let has_budget = self.retry_budget >= retry_cost(request);
            in_time && has_attempts_left && has_budget && request.open && !request.streaming
        })
    }

    /// Gives the final answer when nothing more is tried: a rejection where another try is harmless, else a
    /// failure.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.open && !r.streaming) else { return };
        let effect = self.settings.classes[request.class].effect;
        let is_harmless =
            matches!(effect, Effect::Safe | Effect::Keyed { group: DeduplicationScope::All, .. });
        if is_harmless || request.first_possibly_executed().is_none() {
            self.reject(id, self.retry_advice(request.class), actions);
        } else {
            actions.push(Action::Fail { id });
        }
        self.finish_request(id, None, actions);
    }

    /// Looks at an attempt that has taken long: if its server answers nothing or has lost it, the request
    /// moves on; else it is looked at again, as either may show later and the budget may fill.
    pub(super) fn check_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.open && !r.streaming) else { return };
        let Some(last) = request.attempts.last().filter(|attempt| attempt.end.is_none()) else { return };
        let attempt = AttemptNo(request.attempts.len() as u32 - 1);
        let class = request.class;
        let server = self.servers.get(&last.server);
        let in_flight =
            server.and_then(|server| server.in_flight.iter().find(|a| (a.id, a.attempt) == (id, attempt)));
        let is_early = in_flight.is_some_and(|in_flight| self.now < in_flight.doubted_at);
        if is_early || self.settings.classes[class].effect == Effect::Unsafe {
            return;
        }
        let is_unresponsive =
            |server: &Server| server.last_answer < last.sent || server.info.lifecycle == Lifecycle::Gone;
        let is_given_up = server.is_none_or(is_unresponsive)
            || in_flight.is_some_and(|in_flight| in_flight.is_lost(self.now, LOST_IS_RETRIED));
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

/// What a retry takes from the budget, by how the attempt before it ended.
fn retry_cost(request: &Request) -> f64 {
    match request.attempts.last().and_then(|attempt| attempt.end) {
        Some(Status::Reset | Status::ConnectFailed) => BROKEN_CONNECTION_RETRY_COST,
        _ => 1.0,
    }
}
