//! A request's course: taken or refused, sent, repeated, ended.

use super::*;

/// Weight of a reading of the meter in the mean use of its plan's customers (ours: thirty answers, as a
/// reading is of a request or two).
const QUOTA_USE_WEIGHT: f64 = 0.03;
/// Weight of an answer in its server's slowness (ours: a handful of answers).
const SLOWNESS_WEIGHT: f64 = 0.2;
/// ... and the most that one counts, in mean latencies.
const MAX_SLOWNESS: f64 = 20.0;
/// Times an attempt is looked at again within the time after which its server is doubted (ours).
const CHECKS_PER_PATIENCE: f64 = 8.0;
/// A client that waits for less than this part of what first tries of the class are given has the rest of the
/// class's deadline left and no more (ours: what the way here takes off a wait is less than the difference).
const FIRST_TRY_WAIT_SHARE: f64 = 0.97;
/// Most that a refusal advises to wait, in aims (ours: clients come back up to three times, within the aim).
const RETRY_ADVICE_SHARE: f64 = 0.25;
/// The retry budget: what each first send adds to it, and the most that it holds (ours). A further attempt
/// takes one, so that they are a tenth of the first sends and ten more at most, ...
const RETRY_BUDGET: (f64, f64) = (0.1, 10.0);
/// ... and a repeat after a broken connection this part of one (ours: half of the first sends may need one).
/// A break comes at once and is no sign of load, as a refusal or silence is. Covers networks and servers that
/// cut connections, as restarts do; hurts where overloaded servers cut them, which the bounds on attempts out
/// must then hold alone.
const BROKEN_CONNECTION_RETRY_COST: f64 = 0.2;

impl Gateway {
    pub(super) fn on_request(&mut self, new: NewRequest, place: Placement, actions: &mut Vec<Action>) {
        let (now, id) = (self.now, new.id);
        let known =
            self.settings.classes.get(new.class.0).cloned().zip(self.settings.plans.get(new.plan.0).cloned());
        let Some((class, plan)) = known else {
            return self.reject(id, 1.0, actions);
        };
        if self.requests.contains_key(&id) {
            return;
        }
        // What cannot be answered in its time left would only waste work, quota and repeats.
        let wanted = now
            .after_secs(class.latency_target.as_secs_f64() - self.time_already_waited(&new))
            .min(new.deadline);
        if wanted.since(now) < MIN_TIME_LEFT * self.mean_latency[new.class.0] {
            return self.reject(id, class.latency_target.as_secs_f64(), actions);
        }
        let units = if new.units.is_finite() && new.units > 0.0 { new.units } else { 1.0 };
        self.mean_units[new.class.0] = ewma(self.mean_units[new.class.0], units, LATENCY_WEIGHT);
        let meter = self.settings.meter_period.as_secs_f64();
        let (most_worth, chance, latency) =
            (self.highest_value(), self.random.uniform(), self.mean_latency[new.class.0]);
        let held = latency / self.mean_units[new.class.0].max(1e-6);
        let (used, cost) =
            (self.mean_quota_use[new.plan.0], sanitize(plan.over_quota_cost - plan.over_quota_value));
        let holds = 1.0 / (1.0 + cost * (used * used - 1.0).max(0.0));
        let Some(customer) = self.customer(new.customer, new.plan, new.gateways) else { return };
        // Departure: a customer's last units are left to the dearer class, as worth decides under load too.
        // Hurts the cheaper class; the least slice's store, when full, lets it in all the same.
        let dearer = units * most_worth / sanitize(class.value).max(1e-9);
        let needs = dearer.min(plan.burst / customer.gateways).max(units);
        // Departure: a repeat was refused, maybe where its quota is known to be used. Where nothing is known
        // of its customer it is no first ask, or each of many gateways lets in what another has refused.
        let refused = if new.is_retry && customer.meter.is_none() { units } else { 0.0 };
        customer.asked.add(now, refused);
        let inside = customer.is_within_rate(now, needs, meter, chance, holds)
            && customer.is_within_concurrency(now, held);
        customer.asked.add(now, units - refused);
        // The ceiling is kept alone: an own part of it, empty at the start of each life.
        let capped = plan.rate_limit > 0.0 && customer.ceiling < units;
        if capped || !(inside || plan.over_quota_value > plan.over_quota_cost) {
            let wait = customer.seconds_until_available(if capped { units } else { needs }, capped, latency);
            return self.reject(id, wait.min(self.retry_advice(new.class.0)), actions);
        }
        if let Placement::Unavailable { retry_after } = place {
            return self.reject(id, retry_after.as_secs_f64(), actions);
        }
        let priority = (new.plan.0 * self.settings.classes.len() + new.class.0) * 2 + usize::from(!inside);
        let cost = self.relative_cost(new.class.0);
        if !self.shedder.admit(priority, cost) || (!inside && self.shedder.f < 1.0) {
            return self.reject(id, self.retry_advice(new.class.0), actions);
        }
        let request = Request {
            class: new.class.0,
            customer: new.customer,
            deadline: new.deadline,
            latency_deadline: wanted,
            units: units,
            within_quota: inside,
            placement: place,
            open: true,
            body_in_flight: new.body_in_flight,
            ..Request::default()
        };
        let Some(server) = self.choose_server(&request).filter(|_| new.deadline > now) else {
            // No room under the bounds counts like a server's refusal (design): f falls, and worth decides.
            self.shedder.record_latency(
                1.0,
                cost,
                class.deadline.as_secs_f64() / self.latency_target(new.class.0),
            );
            return self.reject(id, self.retry_advice(new.class.0), actions);
        };
        if let Some(c) = self.customers.get_mut(&new.customer) {
            c.consume(now, units, inside);
        }
        self.retry_budget = (self.retry_budget + RETRY_BUDGET.0).min(RETRY_BUDGET.1);
        self.requests.insert(id, request);
        self.set_deadline_timer(id, new.deadline, actions);
        self.send_attempt(id, server, actions);
    }

    /// Whether a request has more time than was known when its deadline's timer was set.
    pub(super) fn has_more_time(&self, id: RequestId) -> bool {
        let early = self.now.after(2 * self.settings.tick);
        self.requests.get(&id).is_some_and(|r| r.body_in_flight || early < r.deadline)
    }

    /// The server has all of a request now: its time begins.
    pub(super) fn on_body_written(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        deadline: Time,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let (class, server) = (r.class, r.attempts.get(attempt.0 as usize).map(|a| a.server));
        self.customers.entry(r.customer).and_modify(|c| c.in_flight += 1);
        (r.body_in_flight, r.deadline) = (false, deadline);
        r.latency_deadline = now.after(self.settings.classes[class].latency_target).min(deadline);
        let doubted = now.after_secs(self.response_timeout(class));
        let out = server.and_then(|s| self.servers.get_mut(&s)).map(|s| &mut s.in_flight);
        if let Some(out) = out.and_then(|out| out.iter_mut().find(|o| (o.id, o.attempt) == (id, attempt))) {
            (out.sent_at, out.doubted_at, out.body_in_transit) = (now, doubted, false);
        }
        self.set_deadline_timer(id, deadline, actions);
        actions.push(Action::Timer { at: doubted, token: Token(u64::from(id.0) << 2 | TOKEN_CHECK) });
    }

    /// Sets the timer by which a request must have its final answer.
    pub(super) fn set_deadline_timer(&self, id: RequestId, deadline: Time, actions: &mut Vec<Action>) {
        let early = Time(deadline.0.saturating_sub(self.settings.tick.as_nanos() as u64));
        let token = Token(u64::from(id.0) << 2 | TOKEN_DEADLINE);
        actions.push(Action::Timer { at: early.max(self.now), token });
    }

    /// A long answer has begun, which is the server's answer. How long it lasts is up to its length and the
    /// client.
    pub(super) fn on_stream_started(&mut self, id: RequestId, attempt: AttemptNo) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.streaming = true;
        let (class, at) = (r.class, r.attempts.get(attempt.0 as usize).map(|a| a.server));
        let Some(s) = at.and_then(|server| self.servers.get_mut(&server)) else { return };
        let Some(out) = s.in_flight.iter_mut().find(|o| (o.id, o.attempt) == (id, attempt)) else { return };
        out.body_in_transit = true;
        let (server, sent) = (s.info.id, out.sent_at);
        self.on_response(server, class, sent, now.since(sent));
    }

    /// A server has answered after so many seconds.
    pub(super) fn on_response(&mut self, server: ServerId, class: usize, sent: Time, elapsed: f64) {
        let (now, typical) = (self.now, self.mean_latency[class].max(1e-6));
        self.record_slowness(server, elapsed / typical);
        if let Some(s) = self.servers.get_mut(&server) {
            s.last_answer = now;
            let pace = elapsed / typical;
            for out in s.in_flight.iter_mut().filter(|out| out.sent_at < sent) {
                out.slowest_overtaking_pace =
                    Some(out.slowest_overtaking_pace.map_or(pace, |slowest| slowest.max(pace)));
            }
            s.answers.add(now, 1.0);
        }
        self.shedder.record_latency(1.0, self.relative_cost(class), elapsed / self.latency_target(class));
        self.mean_latency[class] = ewma(self.mean_latency[class], elapsed, LATENCY_WEIGHT);
    }

    /// A server has taken so many mean latencies.
    pub(super) fn record_slowness(&mut self, server: ServerId, slow: f64) {
        let now = self.now;
        if let Some(s) = self.servers.get_mut(&server).filter(|_| slow > 0.0) {
            let ((kind, seen), slow) =
                (self.machine_kind_slowness.entry(s.info.kind).or_insert((1.0, 1.0)), slow.min(MAX_SLOWNESS));
            *seen += 1.0;
            *kind = ewma(*kind, slow, LATENCY_WEIGHT.max(1.0 / *seen));
            s.slow = ewma(s.slowness(now, *kind), slow, SLOWNESS_WEIGHT);
            s.slow_at = now;
        }
    }

    /// Seconds that the client has waited already, as far as it can be known: the class's deadline spans all
    /// its tries, so a repeat that is given less than a first try of its class is given what is left of it.
    pub(super) fn time_already_waited(&mut self, new: &NewRequest) -> f64 {
        let (wait, most) = (new.deadline.since(self.now), &mut self.longest_first_wait[new.class.0]);
        if !new.is_retry {
            *most = most.max(wait);
        }
        if !new.is_retry || wait >= FIRST_TRY_WAIT_SHARE * *most {
            return 0.0;
        }
        (self.settings.classes[new.class.0].deadline.as_secs_f64() - wait).max(0.0)
    }

    /// Advice that lets a client come back while its answer is still worth something: after the class's aim
    /// it would only ask in vain.
    pub(super) fn retry_advice(&self, class: usize) -> f64 {
        RETRY_ADVICE_SHARE * self.latency_target(class)
    }

    /// A quota's refusals advise to wait for what lacks, but no longer than an overload's (ours).
    pub(super) fn reject(&self, id: RequestId, wait: f64, actions: &mut Vec<Action>) {
        let wait = sanitize(wait).min(self.settings.max_retry_after.as_secs_f64()).max(0.001);
        actions.push(Action::Reject { id, retry_after: Duration::from_secs_f64(wait) });
    }

    pub(super) fn send_attempt(&mut self, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let begin_by = self.requests.get(&id).and_then(|r| self.deduplication_window_end(r));
        let Some(r) = self.requests.get_mut(&id) else { return };
        let attempt = AttemptNo(r.attempts.len() as u32);
        r.attempts.push(Attempt { server, sent: now, end: None });
        let (class, deadline, customer, passing) = (r.class, r.deadline, r.customer, r.body_in_flight);
        let (doubted, usual) = (now.after_secs(self.response_timeout(class)), self.mean_latency[class]);
        if let Some(s) = self.servers.get_mut(&server) {
            s.owed = false;
            s.in_flight.push(InFlightAttempt {
                id,
                attempt,
                sent_at: now,
                doubted_at: doubted,
                mean_latency_at_send: usual,
                slowest_overtaking_pace: None,
                body_in_transit: passing,
            });
            if s.warm_share(now, &self.settings) < 1.0 {
                s.cold_tokens -= 1.0;
            }
        }
        // One whose body is on its way is not out yet: the server has not begun.
        if let Some(c) = self.customers.get_mut(&customer).filter(|_| !passing) {
            c.in_flight += 1;
        }
        self.recent_sends += 1.0;
        if attempt.0 == 0 {
            self.shedder.on_admitted(self.relative_cost(class));
        }
        actions.push(Action::Send { id, server, deadline, begin_by });
        let token = Token(u64::from(id.0) << 2 | TOKEN_CHECK);
        actions.push(Action::Timer { at: doubted, token });
    }

    /// Seconds after which an attempt's server is doubted.
    pub(super) fn response_timeout(&self, class: usize) -> f64 {
        (SILENT.0 * self.mean_latency[class]).max(SILENT.1 * self.latency_target(class))
    }

    pub(super) fn on_outcome(&mut self, o: Outcome, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&o.id) else { return };
        let open = r.attempts.get_mut(o.attempt.0 as usize).filter(|a| a.end.is_none());
        let Some(attempt) = open else { return };
        attempt.end = Some(o.status);
        let (server, sent) = (attempt.server, attempt.sent);
        let (class, customer, was_open) = (r.class, r.customer, r.open);
        let (inside, guess, streamed, unsent) = (r.within_quota, r.units, r.streaming, r.body_in_flight);
        // Who hangs up early says nothing of the server: one that is silent ends as timed out before.
        let blameless =
            o.status == Status::NotSent || (o.status == Status::Cancelled && r.client_disconnected);
        let first = r.attempts.iter().filter(|a| a.end == Some(Status::Ok)).count() == 1;
        let (elapsed, deadline) =
            (o.elapsed.as_secs_f64(), self.settings.classes[class].deadline.as_secs_f64());
        let (aim, cost) = (self.latency_target(class), self.relative_cost(class));
        if let Some(c) = self.customers.get_mut(&customer) {
            c.in_flight = c.in_flight.saturating_sub(u32::from(!unsent));
            if let Some(used) = o.metered_use {
                c.refill(now, self.settings.meter_period.as_secs_f64(), self.settings.max_units);
                c.on_meter_reading(now, used, self.settings.meter_period.as_secs_f64());
                let mean = &mut self.mean_quota_use[c.number.0];
                *mean = ewma(*mean, sanitize(used), QUOTA_USE_WEIGHT);
            }
            if let Some(units) = o.actual_units.filter(|u| inside && first && u.is_finite()) {
                c.store -= units - guess;
                c.level -= units - guess;
                c.own.add(now, units - guess);
            }
        }
        let typical = self.mean_latency[class].max(1e-6);
        if let Some(s) = self.servers.get_mut(&server) {
            s.in_flight.retain(|out| (out.id, out.attempt) != (o.id, o.attempt));
            if let Some(q) = o.report.queue {
                (s.queue, s.queue_at) = (sanitize(q), now);
            }
            s.util = o.report.utilization.map(sanitize).or(s.util);
            if o.status != Status::Rejected && !blameless {
                if s.sick.entry(class).or_default().record(
                    o.status != Status::Ok,
                    now,
                    SLOWNESS_HALF_LIFE_SECS,
                ) {
                    actions.push(Action::Log(format!("server {} fails class {class}", server.0)));
                }
                let zone = self.zone_connect_failures.entry(s.info.zone).or_default();
                zone.record(o.status == Status::ConnectFailed, now, SLOWNESS_HALF_LIFE_SECS);
            }
        }
        // What gets no answer is slow as well: a jammed server would else look like any of its kind.
        if matches!(o.status, Status::Rejected | Status::TimedOut | Status::Cancelled) && !blameless {
            self.record_slowness(server, elapsed.max(aim) / typical);
        }
        // The loop's latency: refusals and time-outs count as the deadline; quick errors count nothing.
        match o.status {
            Status::Ok if !streamed => self.on_response(server, class, sent, elapsed),
            Status::Rejected | Status::TimedOut => self.shedder.record_latency(1.0, cost, deadline / aim),
            _ => {}
        }
        if o.finished || !was_open {
            self.finish_request(o.id, Some(o.attempt), actions);
        } else {
            let out = self.requests.get(&o.id).is_some_and(|r| r.has_attempt_in_flight() || r.streaming);
            if !out && (o.not_retryable || !self.retry(o.id, actions)) {
                self.give_up(o.id, actions);
            }
        }
    }

    /// The request is over: calls off what is still out and forgets it when all is told.
    pub(super) fn finish_request(
        &mut self,
        id: RequestId,
        served: Option<AttemptNo>,
        actions: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if r.open {
            r.open = false;
            for (n, a) in (0..).map(AttemptNo).zip(&r.attempts) {
                if a.end.is_none() && Some(n) != served && self.settings.cancel && !r.streaming {
                    actions.push(Action::Cancel { id, attempt: n });
                }
            }
        }
        if !r.has_attempt_in_flight() {
            self.requests.remove(&id);
        }
    }

    /// Another attempt, if the class allows it, the budget holds it and it can come in time.
    pub(super) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(r) = self.may_retry(id).then(|| self.requests.remove(&id)).flatten() else { return false };
        let (server, price) = (self.choose_server(&r), Self::retry_cost(&r));
        self.requests.insert(id, r);
        let Some(server) = server else { return false };
        self.retry_budget -= price;
        self.send_attempt(id, server, actions);
        true
    }

    /// What a further attempt takes from the budget, by how the one before it ended.
    pub(super) fn retry_cost(r: &Request) -> f64 {
        match r.attempts.last().and_then(|a| a.end) {
            Some(Status::Reset | Status::ConnectFailed) => BROKEN_CONNECTION_RETRY_COST,
            _ => 1.0,
        }
    }

    /// Repeats are load, so they are budgeted, and sent only while an answer can still come within the aim.
    pub(super) fn may_retry(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| {
            let in_time = self.now.after_secs(self.mean_latency[r.class]) < r.latency_deadline;
            let more = r.attempts.len() < self.settings.max_attempts as usize;
            in_time && more && self.retry_budget >= Self::retry_cost(r) && r.open && !r.streaming
        })
    }

    /// The final answer when nothing more is tried: a refusal where a repeat is harmless, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| r.open && !r.streaming) else { return };
        let effect = self.settings.classes[r.class].effect;
        let anywhere = matches!(effect, Effect::Safe | Effect::Keyed { group: DeduplicationScope::All, .. });
        if anywhere || r.first_possibly_executed().is_none() {
            self.reject(id, self.retry_advice(r.class), actions);
        } else {
            actions.push(Action::Fail { id });
        }
        self.finish_request(id, None, actions);
    }

    /// An attempt has taken long: if its server answers nothing or has lost it, the request moves on; else it
    /// is looked at again, as either may show later and the budget may fill.
    pub(super) fn check_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| r.open && !r.streaming) else { return };
        let Some(last) = r.attempts.last().filter(|a| a.end.is_none()) else { return };
        let attempt = AttemptNo(r.attempts.len() as u32 - 1);
        let class = r.class;
        let server = self.servers.get(&last.server);
        let out = server.and_then(|s| s.in_flight.iter().find(|o| (o.id, o.attempt) == (id, attempt)));
        if out.is_some_and(|o| self.now < o.doubted_at)
            || self.settings.classes[class].effect == Effect::Unsafe
        {
            return;
        }
        let silent = |s: &Server| s.last_answer < last.sent || s.info.lifecycle == Lifecycle::Gone;
        let given_up = server.is_none_or(silent) || out.is_some_and(|o| o.is_lost(self.now, LOST.0));
        if given_up && self.may_retry(id) {
            if self.settings.hedging && self.retry(id, actions) {
                return;
            } else if self.settings.cancel && !self.settings.hedging {
                return actions.push(Action::Cancel { id, attempt });
            }
        }
        let token = Token(u64::from(id.0) << 2 | TOKEN_CHECK);
        actions.push(Action::Timer {
            at: self.now.after_secs(self.response_timeout(class) / CHECKS_PER_PATIENCE),
            token,
        });
    }
}
