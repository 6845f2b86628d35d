//! Admission: whether a request is let in, and what a rejected one is advised.
//!
//! In this order: the time that is left for an answer, the customer's quota and rate limit, the placement
//! that was decided on for the fleet, load shedding by value, and at last whether a server may take it. A
//! rejection costs no more than what was looked at so far.

use super::quota::QuotaRequest;
use super::request::Request;
use super::{Gateway, LATENCY_WEIGHT, MIN_TIME_LEFT};
use crate::api::{Action, Class, NewRequest, Placement, Plan, RequestId};
use crate::arithmetic::{ewma, sanitize};
use std::time::Duration;

/// A client that waits for less than this share of what first attempts of the class are given has the rest of
/// the class's deadline left and no more (ours: what the way here takes off a wait is less than the
/// difference).
const FIRST_TRY_WAIT_SHARE: f64 = 0.97;
/// Most that a rejection advises to wait, in latency targets (ours: clients come back up to three times,
/// within the target).
const RETRY_ADVICE_SHARE: f64 = 0.25;
/// What each first attempt adds to the retry budget, which is in attempts ...
const RETRY_BUDGET_DEPOSIT: f64 = 0.1;
/// ... and the most that it holds (ours): retries are a tenth of the first attempts and ten more at most.
const MAX_RETRY_BUDGET: f64 = 10.0;
/// The least that a rejection advises to wait, in seconds.
const MIN_RETRY_AFTER_SECS: f64 = 0.001;

/// What the customer's quota says to a request.
struct QuotaVerdict {
    within_quota: bool,
    /// Seconds that a rejected client is advised to wait; `None` where the quota lets the request in.
    rejected_for: Option<f64>,
}

impl Gateway {
    /// Handles a new request.
    pub(super) fn on_request(&mut self, new: NewRequest, placement: Placement, actions: &mut Vec<Action>) {
        let (now, id, class_index) = (self.now, new.id, new.class.0);
        let class = self.settings.classes.get(class_index).cloned();
        let Some((class, plan)) = class.zip(self.settings.plans.get(new.plan.0).cloned()) else {
            return self.reject(id, 1.0, actions);
        };
        if self.requests.contains_key(&id) {
            return;
        }
        // What cannot be answered in its time left would only waste work, quota and retries.
        let target = class.latency_target.as_secs_f64();
        let latency_deadline = now.after_secs(target - self.time_already_waited(&new)).min(new.deadline);
        if latency_deadline.since(now) < MIN_TIME_LEFT * self.mean_latency[class_index] {
            return self.reject(id, target, actions);
        }
        let units = if new.units.is_finite() && new.units > 0.0 { new.units } else { 1.0 };
        self.mean_units[class_index] = ewma(self.mean_units[class_index], units, LATENCY_WEIGHT);
        let Some(verdict) = self.quota_verdict(&new, units, &class, &plan) else { return };
        if let Some(wait) = verdict.rejected_for {
            return self.reject(id, wait.min(self.retry_advice(class_index)), actions);
        }
        if let Placement::Unavailable { retry_after } = placement {
            return self.reject(id, retry_after.as_secs_f64(), actions);
        }
        let within_quota = verdict.within_quota;
        if self.sheds(&new, within_quota) {
            return self.reject(id, self.retry_advice(class_index), actions);
        }
        let request = Request {
            class: class_index,
            customer: new.customer,
            deadline: new.deadline,
            latency_deadline,
            units,
            within_quota,
            placement,
            open: true,
            body_in_flight: new.body_in_flight,
            ..Request::default()
        };
        self.send_first_attempt(id, request, &class, actions);
    }

    /// Asks the customer's quota and rate limit; `None` where there is no such plan.
    fn quota_verdict(
        &mut self,
        new: &NewRequest,
        units: f64,
        class: &Class,
        plan: &Plan,
    ) -> Option<QuotaVerdict> {
        let (now, class_index) = (self.now, new.class.0);
        let highest_value = self.highest_value();
        let chance = self.random.uniform();
        let latency = self.mean_latency[class_index];
        let seconds_in_flight = latency / self.mean_units[class_index].max(1e-6);
        let (used, cost) =
            (self.mean_quota_use[new.plan.0], sanitize(plan.over_quota_cost - plan.over_quota_value));
        let plan_share = 1.0 / (1.0 + cost * (used * used - 1.0).max(0.0));
        let meter_period = self.settings.meter_period.as_secs_f64();
        let customer = self.customer(new.customer, new.plan, new.gateways)?;
        // Departure: a customer's last units are left to the most valuable class, as value decides under load
        // too. Hurts the other classes; the least slice's bucket, when full, lets them in all the same.
        let scaled = units * highest_value / sanitize(class.value).max(1e-9);
        let needed = scaled.min(plan.burst / customer.gateways).max(units);
        // Departure: a retry was rejected, maybe where its quota is known to be used. Where nothing is known
        // of its customer it is no first request, or each of many gateways would let in what another has
        // rejected.
        let counted_before = if new.is_retry && customer.meter.is_none() { units } else { 0.0 };
        customer.demand.add(now, counted_before);
        let request = QuotaRequest { units: needed, meter_period, chance, plan_share };
        let within_quota =
            customer.is_within_rate(now, &request) && customer.is_within_concurrency(now, seconds_in_flight);
        customer.demand.add(now, units - counted_before);
        // The rate limit is kept alone: a local part of it, empty at the start of each process.
        let over_limit = plan.rate_limit > 0.0 && customer.rate_limit_tokens < units;
        let is_rejected = over_limit || !(within_quota || plan.over_quota_value > plan.over_quota_cost);
        let lacking = if over_limit { units } else { needed };
        let rejected_for =
            is_rejected.then(|| customer.seconds_until_available(lacking, over_limit, latency));
        Some(QuotaVerdict { within_quota, rejected_for })
    }

    /// Whether the load shedder rejects a request; what is beyond its quota goes first.
    fn sheds(&mut self, new: &NewRequest, within_quota: bool) -> bool {
        let class = new.class.0;
        let priority = (new.plan.0 * self.settings.classes.len() + class) * 2 + usize::from(!within_quota);
        let cost = self.relative_cost(class);
        !self.shedder.admit(priority, cost) || (!within_quota && self.shedder.admitted_fraction < 1.0)
    }

    /// Sends the first attempt of a request that was let in, or rejects it where no server may take it.
    fn send_first_attempt(
        &mut self,
        id: RequestId,
        request: Request,
        class: &Class,
        actions: &mut Vec<Action>,
    ) {
        let (now, class_index, deadline) = (self.now, request.class, request.deadline);
        let Some(server) = self.choose_server(&request).filter(|_| deadline > now) else {
            // No capacity under the bounds counts like a server's rejection (design): the admitted fraction
            // falls, and value decides.
            let late = class.deadline.as_secs_f64() / self.latency_target(class_index);
            let cost = self.relative_cost(class_index);
            self.shedder.record_latency(1.0, cost, late);
            return self.reject(id, self.retry_advice(class_index), actions);
        };
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.consume(now, request.units, request.within_quota);
        }
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_DEPOSIT).min(MAX_RETRY_BUDGET);
        self.requests.insert(id, request);
        self.set_deadline_timer(id, deadline, actions);
        self.send_attempt(id, server, actions);
    }

    /// Seconds that the client has waited already, as far as it can be known: the class's deadline spans all
    /// its tries, so a retry that is given less than a first try of its class is given what is left of it.
    fn time_already_waited(&mut self, new: &NewRequest) -> f64 {
        let wait = new.deadline.since(self.now);
        let longest = &mut self.longest_first_wait[new.class.0];
        if !new.is_retry {
            *longest = longest.max(wait);
        }
        if !new.is_retry || wait >= FIRST_TRY_WAIT_SHARE * *longest {
            return 0.0;
        }
        (self.settings.classes[new.class.0].deadline.as_secs_f64() - wait).max(0.0)
    }

    /// Seconds after which a client can come back while its answer is still worth something: after the
    /// class's latency target it would only ask in vain.
    pub(super) fn retry_advice(&self, class: usize) -> f64 {
        RETRY_ADVICE_SHARE * self.latency_target(class)
    }

    /// Rejects a request; its client is advised to wait for so many seconds.
    pub(super) fn reject(&self, id: RequestId, wait: f64, actions: &mut Vec<Action>) {
        let max = self.settings.max_retry_after.as_secs_f64();
        let wait = sanitize(wait).min(max).max(MIN_RETRY_AFTER_SECS);
        actions.push(Action::Reject { id, retry_after: Duration::from_secs_f64(wait) });
    }
}
