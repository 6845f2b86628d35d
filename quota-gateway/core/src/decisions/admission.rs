//! Admission: whether a request is admitted, and the retry-after of a rejected one.
//!
//! The checks, in this order: the time left for a response, the customer's quota and rate limit, the
//! request's placement, load shedding by value, and whether a server can take it. The first check that fails
//! rejects the request and the others are skipped, which keeps rejections cheap.

use super::quota::QuotaRequest;
use super::request::Request;
use super::{Gateway, LATENCY_WEIGHT, MIN_TIME_LEFT_LATENCIES};
use crate::api::{Action, Class, NewRequest, Placement, Plan, RequestId};
use crate::arithmetic::{ewma, sanitize};
use std::time::Duration;

/// A retry whose timeout is below this share of the longest one of an initial request has already used part
/// of the class's deadline. The margin covers the time that the request takes to reach the gateway.
const INITIAL_REQUEST_TIMEOUT_SHARE: f64 = 0.97;
/// Retry-after of a rejection, in latency targets of the class; an upper bound for rejections by quota. At a
/// quarter, a client can retry up to three times within the target.
const RETRY_AFTER_TARGET_SHARE: f64 = 0.25;
/// Attempts that each first attempt adds to the retry budget. With [`MAX_RETRY_BUDGET`], retries are limited
/// to a tenth of the first attempts plus ten.
const RETRY_BUDGET_DEPOSIT: f64 = 0.1;
/// Maximum of the retry budget, in attempts.
const MAX_RETRY_BUDGET: f64 = 10.0;
/// Smallest retry-after of a rejection, in seconds.
const MIN_RETRY_AFTER_SECS: f64 = 0.001;

/// Result of checking a request against its customer's quota and rate limit.
struct QuotaDecision {
    within_quota: bool,
    /// Retry-after of a rejection in seconds; `None` if the request is admitted.
    retry_after_secs: Option<f64>,
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
        // A request that cannot be answered in time would only waste server work, quota and retries.
        let target = class.latency_target.as_secs_f64();
        let latency_deadline = now.after_secs(target - self.time_already_waited(&new)).min(new.deadline);
        if latency_deadline.since(now) < MIN_TIME_LEFT_LATENCIES * self.mean_latency[class_index] {
            return self.reject(id, target, actions);
        }
        let units = if new.units.is_finite() && new.units > 0.0 { new.units } else { 1.0 };
        self.mean_units[class_index] = ewma(self.mean_units[class_index], units, LATENCY_WEIGHT);
        let Some(decision) = self.check_quota(&new, units, &class, &plan) else { return };
        if let Some(wait) = decision.retry_after_secs {
            return self.reject(id, wait.min(self.default_retry_after_secs(class_index)), actions);
        }
        if let Placement::Unavailable { retry_after } = placement {
            return self.reject(id, retry_after.as_secs_f64(), actions);
        }
        let within_quota = decision.within_quota;
        if self.is_shed(&new, within_quota) {
            return self.reject(id, self.default_retry_after_secs(class_index), actions);
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

    /// Checks the customer's quota and rate limit; `None` if there is no such plan.
    fn check_quota(
        &mut self,
        new: &NewRequest,
        units: f64,
        class: &Class,
        plan: &Plan,
    ) -> Option<QuotaDecision> {
        let (now, class_index) = (self.now, new.class.0);
        let highest_value = self.highest_value();
        let random_draw = self.random.uniform();
        let latency = self.mean_latency[class_index];
        let seconds_in_flight = latency / self.mean_units[class_index].max(1e-6);
        let (used, cost) =
            (self.mean_quota_use[new.plan.0], sanitize(plan.over_quota_cost - plan.over_quota_value));
        let plan_share = 1.0 / (1.0 + cost * (used * used - 1.0).max(0.0));
        let meter_period = self.settings.meter_period.as_secs_f64();
        let customer = self.customer(new.customer, new.plan, new.gateways)?;
        // Differs from the design: a customer's last units are reserved for the most valuable class, because
        // value also decides under load. This disadvantages the other classes, but a full bucket of the
        // smallest slice still admits them.
        let scaled = units * highest_value / sanitize(class.value).max(1e-9);
        let needed = scaled.min(plan.burst / customer.gateways).max(units);
        // Differs from the design: a retry was rejected before, possibly by a gateway with a meter reading
        // that shows the quota as used. Without a reading of its customer here, the retry counts as earlier
        // demand. Otherwise each of many gateways would admit a request that another one has rejected.
        let counted_before = if new.is_retry && customer.meter.is_none() { units } else { 0.0 };
        customer.demand.add(now, counted_before);
        let request = QuotaRequest { units: needed, meter_period, random_draw, plan_share };
        let within_quota =
            customer.is_within_rate(now, &request) && customer.is_within_concurrency(now, seconds_in_flight);
        customer.demand.add(now, units - counted_before);
        // Each gateway enforces its own part of the rate limit, with a bucket that starts almost empty.
        let over_limit = plan.rate_limit > 0.0 && customer.rate_limit_tokens < units;
        let is_rejected = over_limit || !(within_quota || plan.over_quota_value > plan.over_quota_cost);
        let lacking = if over_limit { units } else { needed };
        let retry_after_secs =
            is_rejected.then(|| customer.seconds_until_available(lacking, over_limit, latency));
        Some(QuotaDecision { within_quota, retry_after_secs })
    }

    /// Returns whether the load shedder rejects a request. Requests over their quota are shed first.
    fn is_shed(&mut self, new: &NewRequest, within_quota: bool) -> bool {
        let class = new.class.0;
        let priority = (new.plan.0 * self.settings.classes.len() + class) * 2 + usize::from(!within_quota);
        let cost = self.relative_cost(class);
        !self.shedder.admit(priority, cost) || (!within_quota && self.shedder.admitted_fraction < 1.0)
    }

    /// Sends the first attempt of an admitted request, or rejects it if no server can take it.
    fn send_first_attempt(
        &mut self,
        id: RequestId,
        request: Request,
        class: &Class,
        actions: &mut Vec<Action>,
    ) {
        let (now, class_index, deadline) = (self.now, request.class, request.deadline);
        let Some(server) = self.choose_server(&request).filter(|_| deadline > now) else {
            // Lack of capacity under the in-flight limits counts like a rejection by a server, so that the
            // admitted fraction falls and requests are shed by value.
            let relative_latency = class.deadline.as_secs_f64() / self.latency_target(class_index);
            let cost = self.relative_cost(class_index);
            self.shedder.record_latency(1.0, cost, relative_latency);
            return self.reject(id, self.default_retry_after_secs(class_index), actions);
        };
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.consume(now, request.units, request.within_quota);
        }
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_DEPOSIT).min(MAX_RETRY_BUDGET);
        self.requests.insert(id, request);
        self.set_deadline_timer(id, deadline, actions);
        self.send_attempt(id, server, actions);
    }

    /// Estimates the seconds that the client has already waited for earlier requests that this one retries.
    /// The class's deadline spans the initial request and its retries, so a retry with a shorter timeout than
    /// initial requests of its class has only the rest of the deadline.
    fn time_already_waited(&mut self, new: &NewRequest) -> f64 {
        let timeout = new.deadline.since(self.now);
        let longest = &mut self.longest_initial_timeout[new.class.0];
        if !new.is_retry {
            *longest = longest.max(timeout);
        }
        if !new.is_retry || timeout >= INITIAL_REQUEST_TIMEOUT_SHARE * *longest {
            return 0.0;
        }
        (self.settings.classes[new.class.0].deadline.as_secs_f64() - timeout).max(0.0)
    }

    /// Retry-after in seconds for which a retry can still be answered within the class's latency target. An
    /// response after the target has no value.
    pub(super) fn default_retry_after_secs(&self, class: usize) -> f64 {
        RETRY_AFTER_TARGET_SHARE * self.latency_target(class)
    }

    /// Rejects a request with a retry-after of `wait` seconds, limited to the allowed range.
    pub(super) fn reject(&self, id: RequestId, wait: f64, actions: &mut Vec<Action>) {
        let max = self.settings.max_retry_after.as_secs_f64();
        let wait = sanitize(wait).min(max).max(MIN_RETRY_AFTER_SECS);
        actions.push(Action::Reject { id, retry_after: Duration::from_secs_f64(wait) });
    }
}
