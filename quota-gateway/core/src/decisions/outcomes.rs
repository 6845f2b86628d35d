//! Outcomes: what the end of an attempt teaches of its server, its customer and the load, and what follows
//! for the request.

use super::server::SLOWNESS_HALF_LIFE_SECS;
use super::{Gateway, MachineKind, LATENCY_WEIGHT};
use crate::api::{Action, AttemptNo, CustomerId, Outcome, RequestId, ServerId, Status, Time};
use crate::arithmetic::{ewma, sanitize};

/// Weight of a reading of the meter in the mean use of its plan's customers (ours: thirty answers, as a
/// reading is of a request or two).
const QUOTA_USE_WEIGHT: f64 = 0.03;
/// Weight of an answer in its server's slowness (ours: a handful of answers) ...
const SLOWNESS_WEIGHT: f64 = 0.2;
/// ... and the most that one counts, in mean latencies.
const MAX_SLOWNESS: f64 = 20.0;

/// What an ended attempt was, as of its end.
struct EndedAttempt {
    server: ServerId,
    sent: Time,
    class: usize,
    customer: CustomerId,
    /// The request had no final answer before.
    was_open: bool,
    within_quota: bool,
    /// Units that were taken from the quota for it.
    units: f64,
    streaming: bool,
    body_in_flight: bool,
    /// The attempt says nothing of its server: nothing was sent, or its client left. One that is silent ends
    /// as timed out.
    is_blameless: bool,
    /// It is the request's first success.
    is_first_success: bool,
}

impl Gateway {
    /// Handles the beginning of a streamed answer, which is the server's answer. How long it lasts is up to
    /// its length and the client.
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

    /// Records that a server has answered an attempt after so many seconds.
    fn on_response(&mut self, server: ServerId, class: usize, sent: Time, elapsed: f64) {
        let (now, typical) = (self.now, self.mean_latency[class].max(1e-6));
        let pace = elapsed / typical;
        self.record_slowness(server, pace);
        if let Some(server) = self.servers.get_mut(&server) {
            server.last_answer = now;
            for overtaken in server.in_flight.iter_mut().filter(|attempt| attempt.sent_at < sent) {
                let slowest = overtaken.slowest_overtaking_pace;
                overtaken.slowest_overtaking_pace = Some(slowest.map_or(pace, |slowest| slowest.max(pace)));
            }
            server.answer_rate.add(now, 1.0);
        }
        self.shedder.record_latency(1.0, self.relative_cost(class), elapsed / self.latency_target(class));
        self.mean_latency[class] = ewma(self.mean_latency[class], elapsed, LATENCY_WEIGHT);
    }

    /// Records that a server has taken so many mean latencies.
    fn record_slowness(&mut self, server: ServerId, ratio: f64) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server).filter(|_| ratio > 0.0) else { return };
        let ratio = ratio.min(MAX_SLOWNESS);
        let kind = self.machine_kinds.entry(server.info.kind).or_insert(MachineKind::UNKNOWN);
        kind.answers += 1.0;
        kind.slowness = ewma(kind.slowness, ratio, LATENCY_WEIGHT.max(1.0 / kind.answers));
        server.record_slowness(now, kind.slowness, ratio, SLOWNESS_WEIGHT);
    }

    /// Handles the end of an attempt.
    pub(super) fn on_outcome(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(ended) = self.end_attempt(&outcome) else { return };
        let deadline = self.settings.classes[ended.class].deadline.as_secs_f64();
        let (target, cost) = (self.latency_target(ended.class), self.relative_cost(ended.class));
        let elapsed = outcome.elapsed.as_secs_f64();
        let typical = self.mean_latency[ended.class].max(1e-6);
        self.settle_quota(&outcome, &ended);
        self.record_server_outcome(&outcome, &ended, actions);
        // What gets no answer is slow as well: a jammed server would else look like any of its kind.
        let is_unanswered = matches!(outcome.status, Status::Rejected | Status::TimedOut | Status::Cancelled);
        if is_unanswered && !ended.is_blameless {
            self.record_slowness(ended.server, elapsed.max(target) / typical);
        }
        // The loop's latency: rejections and time-outs count as the deadline; quick errors count nothing.
        match outcome.status {
            Status::Ok if !ended.streaming => {
                self.on_response(ended.server, ended.class, ended.sent, elapsed)
            }
            Status::Rejected | Status::TimedOut => self.shedder.record_latency(1.0, cost, deadline / target),
            _ => {}
        }
        self.go_on_after(&outcome, ended.was_open, actions);
    }

    /// Marks an attempt as ended; `None` where it is not known, or has ended before.
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
            is_blameless: outcome.status == Status::NotSent || is_cancelled_by_client,
            is_first_success: successes == 1,
        })
    }

    /// Settles what the attempt took from its customer's quota.
    fn settle_quota(&mut self, outcome: &Outcome, ended: &EndedAttempt) {
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
            customer.correct(now, units - ended.units);
        }
    }

    /// Records what the attempt tells of its server: its load, and whether it fails a class or does not
    /// connect.
    fn record_server_outcome(&mut self, outcome: &Outcome, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&ended.server) else { return };
        server.in_flight.retain(|attempt| (attempt.id, attempt.attempt) != (outcome.id, outcome.attempt));
        if let Some(queue) = outcome.report.queue {
            server.record_queue(now, queue);
        }
        server.utilization = outcome.report.utilization.map(sanitize).or(server.utilization);
        if outcome.status == Status::Rejected || ended.is_blameless {
            return;
        }
        let failed = outcome.status != Status::Ok;
        let failures = server.failures.entry(ended.class).or_default();
        if failures.record(failed, now, SLOWNESS_HALF_LIFE_SECS) {
            actions.push(Action::Log(format!("server {} fails class {}", ended.server.0, ended.class)));
        }
        let zone = self.zone_connect_failures.entry(server.info.zone).or_default();
        zone.record(outcome.status == Status::ConnectFailed, now, SLOWNESS_HALF_LIFE_SECS);
    }

    /// Finishes the request, retries it or gives it up.
    fn go_on_after(&mut self, outcome: &Outcome, was_open: bool, actions: &mut Vec<Action>) {
        if outcome.finished || !was_open {
            return self.finish_request(outcome.id, Some(outcome.attempt), actions);
        }
        let request = self.requests.get(&outcome.id);
        let goes_on = request.is_some_and(|r| r.has_attempt_in_flight() || r.streaming);
        if !goes_on && (outcome.not_retryable || !self.retry(outcome.id, actions)) {
            self.give_up(outcome.id, actions);
        }
    }
}
