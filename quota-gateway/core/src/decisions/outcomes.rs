//! Outcomes: updates the statistics of servers, customers and load when an attempt ends, and finishes,
//! retries or gives up its request.

use super::server::HEALTH_HALF_LIFE_SECS;
use super::{Gateway, MachineKind, LATENCY_WEIGHT};
use crate::api::{Action, AttemptNo, CustomerId, Outcome, RequestId, ServerId, Status, Time};
use crate::arithmetic::{ewma, sanitize};

/// Weight of a meter reading in the mean use of its plan's customers. It averages over about thirty
/// responses, because one reading covers only a request or two.
const QUOTA_USE_WEIGHT: f64 = 0.03;
/// Weight of a response in its server's latency ratio: an average over about five responses.
const LATENCY_RATIO_WEIGHT: f64 = 0.2;
/// Upper bound of one response's latency ratio.
const MAX_LATENCY_RATIO: f64 = 20.0;

/// An attempt and its request at the time when the attempt ended.
struct EndedAttempt {
    server: ServerId,
    sent: Time,
    class: usize,
    customer: CustomerId,
    /// Whether the request had no final response before.
    was_open: bool,
    within_quota: bool,
    /// Units that were taken from the quota for the request.
    units: f64,
    streaming: bool,
    body_in_flight: bool,
    /// Whether the result is unrelated to the server's health: nothing was sent, or the client disconnected.
    /// An attempt to which the server does not respond ends with a timeout instead.
    is_excluded_from_health: bool,
    /// Whether this is the request's first success.
    is_first_success: bool,
}

impl Gateway {
    /// Handles the beginning of a streamed response, whose latency is recorded now. The rest of its duration
    /// depends on its length and on the client.
    pub(super) fn on_stream_started(&mut self, id: RequestId, attempt: AttemptNo) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        let class = request.class;
        let server = request.attempts.get(attempt.0 as usize).map(|attempt| attempt.server);
        let Some(server) = server.and_then(|server| self.servers.get_mut(&server)) else { return };
        let in_flight = server.in_flight.iter_mut().find(|a| (a.id, a.attempt) == (id, attempt));
        let Some(in_flight) = in_flight else { return };
        in_flight.body_in_transit = true;
        let (server, sent) = (server.info.id, in_flight.sent_at);
        self.on_response(server, class, sent, now.since(sent));
    }

    /// Records that a server has responded to an attempt after `elapsed` seconds.
    fn on_response(&mut self, server: ServerId, class: usize, sent: Time, elapsed: f64) {
        let (now, typical) = (self.now, self.mean_latency[class].max(1e-6));
        let latency_ratio = elapsed / typical;
        self.record_latency_ratio(server, latency_ratio);
        if let Some(server) = self.servers.get_mut(&server) {
            server.last_response_at = now;
            for overtaken in server.in_flight.iter_mut().filter(|attempt| attempt.sent_at < sent) {
                let slowest = overtaken.slowest_overtaking_ratio;
                overtaken.slowest_overtaking_ratio =
                    Some(slowest.map_or(latency_ratio, |slowest| slowest.max(latency_ratio)));
            }
            server.response_rate.add(now, 1.0);
        }
        self.shedder.record_latency(1.0, self.relative_cost(class), elapsed / self.latency_target(class));
        self.mean_latency[class] = ewma(self.mean_latency[class], elapsed, LATENCY_WEIGHT);
    }

    /// Records the latency of an attempt at a server, as a multiple of the mean latency of its class.
    fn record_latency_ratio(&mut self, server: ServerId, ratio: f64) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server).filter(|_| ratio > 0.0) else { return };
        let ratio = ratio.min(MAX_LATENCY_RATIO);
        let kind = self.machine_kinds.entry(server.info.kind).or_insert(MachineKind::UNKNOWN);
        kind.responses += 1.0;
        kind.latency_ratio = ewma(kind.latency_ratio, ratio, LATENCY_WEIGHT.max(1.0 / kind.responses));
        server.record_latency_ratio(now, kind.latency_ratio, ratio, LATENCY_RATIO_WEIGHT);
    }

    /// Handles the end of an attempt.
    pub(super) fn on_outcome(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(ended) = self.end_attempt(&outcome) else { return };
        let deadline = self.settings.classes[ended.class].deadline.as_secs_f64();
        let (target, cost) = (self.latency_target(ended.class), self.relative_cost(ended.class));
        let elapsed = outcome.elapsed.as_secs_f64();
        let typical = self.mean_latency[ended.class].max(1e-6);
        self.reconcile_quota(&outcome, &ended);
        self.record_server_outcome(&outcome, &ended, actions);
        // Attempts without a response count as slow. Otherwise an overloaded server would be rated like the
        // other machines of its type.
        let is_unanswered = matches!(outcome.status, Status::Rejected | Status::TimedOut | Status::Cancelled);
        if is_unanswered && !ended.is_excluded_from_health {
            self.record_latency_ratio(ended.server, elapsed.max(target) / typical);
        }
        // The load shedder counts rejections and timeouts with the deadline as their latency. Errors are not
        // counted, because they may be fast.
        match outcome.status {
            Status::Ok if !ended.streaming => {
                self.on_response(ended.server, ended.class, ended.sent, elapsed)
            }
            Status::Rejected | Status::TimedOut => self.shedder.record_latency(1.0, cost, deadline / target),
            _ => {}
        }
        self.continue_request(&outcome, ended.was_open, actions);
    }

    /// Marks an attempt as ended; `None` if it is unknown or has ended before.
    fn end_attempt(&mut self, outcome: &Outcome) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&outcome.id)?;
        let attempt = request.attempts.get_mut(outcome.attempt.0 as usize).filter(|a| a.end.is_none())?;
        attempt.end = Some(outcome.status);
        let (server, sent) = (attempt.server, attempt.sent);
        let is_cancelled_by_client = outcome.status == Status::Cancelled && request.client_disconnected;
        let successes = request.attempts.iter().filter(|a| a.end == Some(Status::Ok)).count();
        Some(EndedAttempt {
            server,
            sent,
            class: request.class,
            customer: request.customer,
            was_open: request.open,
            within_quota: request.within_quota,
            units: request.units,
            streaming: request.streaming,
            body_in_flight: request.body_in_flight,
            is_excluded_from_health: outcome.status == Status::NotSent || is_cancelled_by_client,
            is_first_success: successes == 1,
        })
    }

    /// Updates the customer's quota with the meter reading and the actual units of an outcome.
    fn reconcile_quota(&mut self, outcome: &Outcome, ended: &EndedAttempt) {
        let (now, meter_period) = (self.now, self.settings.meter_period.as_secs_f64());
        let Some(customer) = self.customers.get_mut(&ended.customer) else { return };
        customer.in_flight = customer.in_flight.saturating_sub(u32::from(!ended.body_in_flight));
        if let Some(used) = outcome.metered_use {
            customer.refill(now, meter_period, self.settings.max_units);
            customer.on_meter_reading(now, used, meter_period);
            let mean = &mut self.mean_quota_use[customer.plan_id.0];
            *mean = ewma(*mean, sanitize(used), QUOTA_USE_WEIGHT);
        }
        let corrects = |units: &f64| ended.within_quota && ended.is_first_success && units.is_finite();
        if let Some(units) = outcome.actual_units.filter(corrects) {
            customer.correct_consumption(now, units - ended.units);
        }
    }

    /// Records an outcome in its server's state: the load report, the failure rate of the class, and the
    /// zone's failure rate of connects.
    fn record_server_outcome(&mut self, outcome: &Outcome, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&ended.server) else { return };
        server.in_flight.retain(|attempt| (attempt.id, attempt.attempt) != (outcome.id, outcome.attempt));
        if let Some(queue) = outcome.report.queue {
            server.record_queue(now, queue);
        }
        server.utilization = outcome.report.utilization.map(sanitize).or(server.utilization);
        if outcome.status == Status::Rejected || ended.is_excluded_from_health {
            return;
        }
        let failed = outcome.status != Status::Ok;
        let failures = server.failures.entry(ended.class).or_default();
        if failures.record(failed, now, HEALTH_HALF_LIFE_SECS) {
            actions.push(Action::Log(format!("server {} fails class {}", ended.server.0, ended.class)));
        }
        let zone = self.zone_connect_failures.entry(server.info.zone).or_default();
        zone.record(outcome.status == Status::ConnectFailed, now, HEALTH_HALF_LIFE_SECS);
    }

    /// Finishes the request, waits for its other attempts, retries it or gives it up.
    fn continue_request(&mut self, outcome: &Outcome, was_open: bool, actions: &mut Vec<Action>) {
        if outcome.finished || !was_open {
            return self.finish_request(outcome.id, Some(outcome.attempt), actions);
        }
        let request = self.requests.get(&outcome.id);
        let is_in_progress = request.is_some_and(|r| r.has_attempt_in_flight() || r.streaming);
        if !is_in_progress && (outcome.not_retryable || !self.retry(outcome.id, actions)) {
            self.give_up(outcome.id, actions);
        }
    }
}
