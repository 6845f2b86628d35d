//! A request's course: taken or refused, sent, repeated, ended.

use super::*;

/// Weight of a reading of the meter in the mean use of its plan's customers (ours: thirty answers, as a
/// reading is of a request or two).
const USE_WEIGHT: f64 = 0.03;
/// Weight of an answer in its server's slowness (ours: a handful of answers).
const SLOW_WEIGHT: f64 = 0.2;
/// ... and the most that one counts, in mean latencies.
const SLOW_MOST: f64 = 20.0;
/// Times an attempt is looked at again within the time after which its server is doubted (ours).
const LOOKS: f64 = 8.0;
/// A client that waits for less than this part of what first tries of the class are given has the rest of the
/// class's deadline left and no more (ours: what the way here takes off a wait is less than the difference).
const WAIT_PART: f64 = 0.97;
/// Most that a refusal advises to wait, in aims (ours: clients come back up to three times, within the aim).
const ADVICE: f64 = 0.25;
/// The retry budget: what each first send adds to it, and the most that it holds (ours). A further attempt
/// takes one, so that they are a tenth of the first sends and ten more at most, ...
const RETRY_BUDGET: (f64, f64) = (0.1, 10.0);
/// ... and a repeat after a broken connection this part of one (ours: half of the first sends may need one).
/// A break comes at once and is no sign of load, as a refusal or silence is. Covers networks and servers that
/// cut connections, as restarts do; hurts where overloaded servers cut them, which the bounds on attempts out
/// must then hold alone.
const BROKEN_PRICE: f64 = 0.2;

impl Gateway {
    pub(super) fn arrive(&mut self, new: NewRequest, place: Place, actions: &mut Vec<Action>) {
        let (now, id) = (self.now, new.id);
        let known = self.cfg.classes.get(new.class.0).cloned().zip(self.cfg.plans.get(new.plan.0).cloned());
        let Some((class, plan)) = known else {
            return self.refuse(id, 1.0, actions);
        };
        if self.requests.contains_key(&id) {
            return;
        }
        // What cannot be answered in its time left would only waste work, quota and repeats.
        let wanted = now.after_secs(class.aim.as_secs_f64() - self.waited(&new)).min(new.deadline);
        if wanted.since(now) < LEFT_LEAST * self.latency[new.class.0] {
            return self.refuse(id, class.aim.as_secs_f64(), actions);
        }
        let units = if new.units.is_finite() && new.units > 0.0 { new.units } else { 1.0 };
        self.units[new.class.0] = mix(self.units[new.class.0], units, LATENCY_WEIGHT);
        let meter = self.cfg.meter_period.as_secs_f64();
        let (most_worth, chance, latency) =
            (self.most_worth(), self.random.uniform(), self.latency[new.class.0]);
        let held = latency / self.units[new.class.0].max(1e-6);
        let (used, cost) = (self.uses[new.plan.0], sane(plan.over_cost - plan.over_worth));
        let holds = 1.0 / (1.0 + cost * (used * used - 1.0).max(0.0));
        let Some(customer) = self.customer(new.customer, new.plan, new.gateways) else { return };
        // Departure: a customer's last units are left to the dearer class, as worth decides under load too.
        // Hurts the cheaper class; the least slice's store, when full, lets it in all the same.
        let dearer = units * most_worth / sane(class.worth).max(1e-9);
        let needs = dearer.min(plan.burst / customer.gateways).max(units);
        // Departure: a repeat was refused, maybe where its quota is known to be used. Where nothing is known
        // of its customer it is no first ask, or each of many gateways lets in what another has refused.
        let refused = if new.repeat && customer.meter.is_none() { units } else { 0.0 };
        customer.asked.add(now, refused);
        let inside = customer.inside(now, needs, meter, chance, holds) && customer.open(now, held);
        customer.asked.add(now, units - refused);
        // The ceiling is kept alone: an own part of it, empty at the start of each life.
        let capped = plan.ceiling_rate > 0.0 && customer.ceiling < units;
        if capped || !(inside || plan.over_worth > plan.over_cost) {
            let wait = customer.wait(if capped { units } else { needs }, capped, latency);
            return self.refuse(id, wait.min(self.soon(new.class.0)), actions);
        }
        if let Place::Nowhere { retry_after } = place {
            return self.refuse(id, retry_after.as_secs_f64(), actions);
        }
        let priority = (new.plan.0 * self.cfg.classes.len() + new.class.0) * 2 + usize::from(!inside);
        let cost = self.cost(new.class.0);
        if !self.shedder.pass(priority, cost) || (!inside && self.shedder.f < 1.0) {
            return self.refuse(id, self.soon(new.class.0), actions);
        }
        let request = Request {
            class: new.class.0,
            customer: new.customer,
            deadline: new.deadline,
            wanted,
            units,
            inside,
            place,
            open: true,
            flows: new.flows,
            ..Request::default()
        };
        let Some(server) = self.pick(&request).filter(|_| new.deadline > now) else {
            // No room under the bounds counts like a server's refusal (design): f falls, and worth decides.
            self.shedder.sample(1.0, cost, class.deadline.as_secs_f64() / self.aim(new.class.0));
            return self.refuse(id, self.soon(new.class.0), actions);
        };
        if let Some(c) = self.customers.get_mut(&new.customer) {
            c.take(now, units, inside);
        }
        self.retry_budget = (self.retry_budget + RETRY_BUDGET.0).min(RETRY_BUDGET.1);
        self.requests.insert(id, request);
        self.end_by(id, new.deadline, actions);
        self.send(id, server, actions);
    }

    /// Whether a request has more time than was known when its deadline's timer was set.
    pub(super) fn overtime(&self, id: RequestId) -> bool {
        let early = self.now.after(2 * self.cfg.tick);
        self.requests.get(&id).is_some_and(|r| r.flows || early < r.deadline)
    }

    /// The server has all of a request now: its time begins.
    pub(super) fn written(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        deadline: Time,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let (class, server) = (r.class, r.attempts.get(attempt.0 as usize).map(|a| a.server));
        self.customers.entry(r.customer).and_modify(|c| c.out += 1);
        (r.flows, r.deadline) = (false, deadline);
        r.wanted = now.after(self.cfg.classes[class].aim).min(deadline);
        let doubted = now.after_secs(self.patience(class));
        let out = server.and_then(|s| self.servers.get_mut(&s)).map(|s| &mut s.out);
        if let Some(out) = out.and_then(|out| out.iter_mut().find(|o| (o.id, o.attempt) == (id, attempt))) {
            (out.sent, out.doubted, out.passing) = (now, doubted, false);
        }
        self.end_by(id, deadline, actions);
        actions.push(Action::Timer { at: doubted, token: Token(u64::from(id.0) << 2 | TOKEN_CHECK) });
    }

    /// Sets the timer by which a request must have its final answer.
    pub(super) fn end_by(&self, id: RequestId, deadline: Time, actions: &mut Vec<Action>) {
        let early = Time(deadline.0.saturating_sub(self.cfg.tick.as_nanos() as u64));
        let token = Token(u64::from(id.0) << 2 | TOKEN_DEADLINE);
        actions.push(Action::Timer { at: early.max(self.now), token });
    }

    /// A long answer has begun, which is the server's answer. How long it lasts is up to its length and the
    /// client.
    pub(super) fn stream_started(&mut self, id: RequestId, attempt: AttemptNo) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.streaming = true;
        let (class, at) = (r.class, r.attempts.get(attempt.0 as usize).map(|a| a.server));
        let Some(s) = at.and_then(|server| self.servers.get_mut(&server)) else { return };
        let Some(out) = s.out.iter_mut().find(|o| (o.id, o.attempt) == (id, attempt)) else { return };
        out.passing = true;
        let (server, sent) = (s.info.id, out.sent);
        self.answered(server, class, sent, now.since(sent));
    }

    /// A server has answered after so many seconds.
    pub(super) fn answered(&mut self, server: ServerId, class: usize, sent: Time, elapsed: f64) {
        let (now, typical) = (self.now, self.latency[class].max(1e-6));
        self.slowed(server, elapsed / typical);
        if let Some(s) = self.servers.get_mut(&server) {
            s.last_answer = now;
            let pace = elapsed / typical;
            for out in s.out.iter_mut().filter(|out| out.sent < sent) {
                out.overtaken = Some(out.overtaken.map_or(pace, |slowest| slowest.max(pace)));
            }
            s.answers.add(now, 1.0);
        }
        self.shedder.sample(1.0, self.cost(class), elapsed / self.aim(class));
        self.latency[class] = mix(self.latency[class], elapsed, LATENCY_WEIGHT);
    }

    /// A server has taken so many mean latencies.
    pub(super) fn slowed(&mut self, server: ServerId, slow: f64) {
        let now = self.now;
        if let Some(s) = self.servers.get_mut(&server).filter(|_| slow > 0.0) {
            let ((kind, seen), slow) =
                (self.kinds.entry(s.info.kind).or_insert((1.0, 1.0)), slow.min(SLOW_MOST));
            *seen += 1.0;
            *kind = mix(*kind, slow, LATENCY_WEIGHT.max(1.0 / *seen));
            s.slow = mix(s.slowness(now, *kind), slow, SLOW_WEIGHT);
            s.slow_at = now;
        }
    }

    /// Seconds that the client has waited already, as far as it can be known: the class's deadline spans all
    /// its tries, so a repeat that is given less than a first try of its class is given what is left of it.
    pub(super) fn waited(&mut self, new: &NewRequest) -> f64 {
        let (wait, most) = (new.deadline.since(self.now), &mut self.waits[new.class.0]);
        if !new.repeat {
            *most = most.max(wait);
        }
        if !new.repeat || wait >= WAIT_PART * *most {
            return 0.0;
        }
        (self.cfg.classes[new.class.0].deadline.as_secs_f64() - wait).max(0.0)
    }

    /// Advice that lets a client come back while its answer is still worth something: after the class's aim
    /// it would only ask in vain.
    pub(super) fn soon(&self, class: usize) -> f64 {
        ADVICE * self.aim(class)
    }

    /// A quota's refusals advise to wait for what lacks, but no longer than an overload's (ours).
    pub(super) fn refuse(&self, id: RequestId, wait: f64, actions: &mut Vec<Action>) {
        let wait = sane(wait).min(self.cfg.max_retry_after.as_secs_f64()).max(0.001);
        actions.push(Action::Refuse { id, retry_after: Duration::from_secs_f64(wait) });
    }

    pub(super) fn send(&mut self, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let begin_by = self.requests.get(&id).and_then(|r| self.window_end(r));
        let Some(r) = self.requests.get_mut(&id) else { return };
        let attempt = AttemptNo(r.attempts.len() as u32);
        r.attempts.push(Attempt { server, sent: now, end: None });
        let (class, deadline, customer, passing) = (r.class, r.deadline, r.customer, r.flows);
        let (doubted, usual) = (now.after_secs(self.patience(class)), self.latency[class]);
        if let Some(s) = self.servers.get_mut(&server) {
            s.owed = false;
            s.out.push(Out { id, attempt, sent: now, doubted, usual, overtaken: None, passing });
            if s.warmth(now, &self.cfg) < 1.0 {
                s.cold_tokens -= 1.0;
            }
        }
        // One whose body is on its way is not out yet: the server has not begun.
        if let Some(c) = self.customers.get_mut(&customer).filter(|_| !passing) {
            c.out += 1;
        }
        self.sends += 1.0;
        if attempt.0 == 0 {
            self.shedder.sent(self.cost(class));
        }
        actions.push(Action::Send { id, server, until: deadline, begin_by });
        let token = Token(u64::from(id.0) << 2 | TOKEN_CHECK);
        actions.push(Action::Timer { at: doubted, token });
    }

    /// Seconds after which an attempt's server is doubted.
    pub(super) fn patience(&self, class: usize) -> f64 {
        (SILENT.0 * self.latency[class]).max(SILENT.1 * self.aim(class))
    }

    pub(super) fn outcome(&mut self, o: Outcome, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&o.id) else { return };
        let open = r.attempts.get_mut(o.attempt.0 as usize).filter(|a| a.end.is_none());
        let Some(attempt) = open else { return };
        attempt.end = Some(o.status);
        let (server, sent) = (attempt.server, attempt.sent);
        let (class, customer, was_open) = (r.class, r.customer, r.open);
        let (inside, guess, streamed, unsent) = (r.inside, r.units, r.streaming, r.flows);
        // Who hangs up early says nothing of the server: one that is silent ends as timed out before.
        let blameless = o.status == Status::Moot || (o.status == Status::Cancelled && r.departed);
        let first = r.attempts.iter().filter(|a| a.end == Some(Status::Ok)).count() == 1;
        let (elapsed, deadline) = (o.elapsed.as_secs_f64(), self.cfg.classes[class].deadline.as_secs_f64());
        let (aim, cost) = (self.aim(class), self.cost(class));
        if let Some(c) = self.customers.get_mut(&customer) {
            c.out = c.out.saturating_sub(u32::from(!unsent));
            if let Some(used) = o.metered {
                c.refill(now, self.cfg.meter_period.as_secs_f64(), self.cfg.max_units);
                c.metered(now, used, self.cfg.meter_period.as_secs_f64());
                let mean = &mut self.uses[c.number.0];
                *mean = mix(*mean, sane(used), USE_WEIGHT);
            }
            if let Some(units) = o.true_units.filter(|u| inside && first && u.is_finite()) {
                c.store -= units - guess;
                c.level -= units - guess;
                c.own.add(now, units - guess);
            }
        }
        let typical = self.latency[class].max(1e-6);
        if let Some(s) = self.servers.get_mut(&server) {
            s.out.retain(|out| (out.id, out.attempt) != (o.id, o.attempt));
            if let Some(q) = o.report.queue {
                (s.queue, s.queue_at) = (sane(q), now);
            }
            s.util = o.report.utilization.map(sane).or(s.util);
            if o.status != Status::Full && !blameless {
                if s.sick.entry(class).or_default().felt(o.status != Status::Ok, now, SLOW_FORGET) {
                    actions.push(Action::Log(format!("server {} fails class {class}", server.0)));
                }
                let zone = self.zones.entry(s.info.zone).or_default();
                zone.felt(o.status == Status::ConnectFailed, now, SLOW_FORGET);
            }
        }
        // What gets no answer is slow as well: a jammed server would else look like any of its kind.
        if matches!(o.status, Status::Full | Status::TimedOut | Status::Cancelled) && !blameless {
            self.slowed(server, elapsed.max(aim) / typical);
        }
        // The loop's latency: refusals and time-outs count as the deadline; quick errors count nothing.
        match o.status {
            Status::Ok if !streamed => self.answered(server, class, sent, elapsed),
            Status::Full | Status::TimedOut => self.shedder.sample(1.0, cost, deadline / aim),
            _ => {}
        }
        if o.finished || !was_open {
            self.finish(o.id, Some(o.attempt), actions);
        } else {
            let out = self.requests.get(&o.id).is_some_and(|r| r.out() || r.streaming);
            if !out && (o.last || !self.again(o.id, actions)) {
                self.give_up(o.id, actions);
            }
        }
    }

    /// The request is over: calls off what is still out and forgets it when all is told.
    pub(super) fn finish(&mut self, id: RequestId, served: Option<AttemptNo>, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if r.open {
            r.open = false;
            for (n, a) in (0..).map(AttemptNo).zip(&r.attempts) {
                if a.end.is_none() && Some(n) != served && self.cfg.cancel && !r.streaming {
                    actions.push(Action::Cancel { id, attempt: n });
                }
            }
        }
        if !r.out() {
            self.requests.remove(&id);
        }
    }

    /// Another attempt, if the class allows it, the budget holds it and it can come in time.
    pub(super) fn again(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(r) = self.worth_again(id).then(|| self.requests.remove(&id)).flatten() else { return false };
        let (server, price) = (self.pick(&r), Self::repeat_price(&r));
        self.requests.insert(id, r);
        let Some(server) = server else { return false };
        self.retry_budget -= price;
        self.send(id, server, actions);
        true
    }

    /// What a further attempt takes from the budget, by how the one before it ended.
    pub(super) fn repeat_price(r: &Request) -> f64 {
        match r.attempts.last().and_then(|a| a.end) {
            Some(Status::Reset | Status::ConnectFailed) => BROKEN_PRICE,
            _ => 1.0,
        }
    }

    /// Repeats are load, so they are budgeted, and sent only while an answer can still come within the aim.
    pub(super) fn worth_again(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| {
            let in_time = self.now.after_secs(self.latency[r.class]) < r.wanted;
            let more = r.attempts.len() < self.cfg.max_attempts as usize;
            in_time && more && self.retry_budget >= Self::repeat_price(r) && r.open && !r.streaming
        })
    }

    /// The final answer when nothing more is tried: a refusal where a repeat is harmless, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| r.open && !r.streaming) else { return };
        let effect = self.cfg.classes[r.class].effect;
        let anywhere = matches!(effect, Effect::Safe | Effect::Keyed { group: Group::All, .. });
        if anywhere || r.ran().is_none() {
            self.refuse(id, self.soon(r.class), actions);
        } else {
            actions.push(Action::Fail { id });
        }
        self.finish(id, None, actions);
    }

    /// An attempt has taken long: if its server answers nothing or has lost it, the request moves on; else it
    /// is looked at again, as either may show later and the budget may fill.
    pub(super) fn check(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| r.open && !r.streaming) else { return };
        let Some(last) = r.attempts.last().filter(|a| a.end.is_none()) else { return };
        let attempt = AttemptNo(r.attempts.len() as u32 - 1);
        let class = r.class;
        let server = self.servers.get(&last.server);
        let out = server.and_then(|s| s.out.iter().find(|o| (o.id, o.attempt) == (id, attempt)));
        if out.is_some_and(|o| self.now < o.doubted) || self.cfg.classes[class].effect == Effect::Unsafe {
            return;
        }
        let silent = |s: &Server| s.last_answer < last.sent || s.info.lifecycle == Lifecycle::Gone;
        let given_up = server.is_none_or(silent) || out.is_some_and(|o| o.lost(self.now, LOST.0));
        if given_up && self.worth_again(id) {
            if self.cfg.second_copies && self.again(id, actions) {
                return;
            } else if self.cfg.cancel && !self.cfg.second_copies {
                return actions.push(Action::Cancel { id, attempt });
            }
        }
        let token = Token(u64::from(id.0) << 2 | TOKEN_CHECK);
        actions.push(Action::Timer { at: self.now.after_secs(self.patience(class) / LOOKS), token });
    }
}
