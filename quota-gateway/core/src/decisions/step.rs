//! The periodic step, every 100 ms: load is assessed, and once a second the slices of the customers' quotas
//! are cut anew.

use super::load_shedding::STEP_SECS;
use super::quota::{CustomerQuota, CUSTOMER_TTL_SECS};
use super::server::{Server, RATE_TIME_CONSTANT_SECS};
use super::timer::Timer;
use super::{Gateway, LOST_IS_RETRIED};
use crate::api::{Action, Lifecycle};

/// Steps between two slices of a customer (design: one second).
pub(super) const STEPS_PER_SLICE: u64 = 10;
/// Requests that wait at a server from which it counts as reporting its load.
const MIN_REPORTED_QUEUE: f64 = 0.5;
/// The gateway says that it sheds load when it admits less than this fraction, and that it does no longer
/// when it admits all.
const SHEDDING_BELOW: f64 = 0.9;

impl Gateway {
    /// Handles the timer of the step, and sets the next one.
    pub(super) fn on_step(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::Timer { at: self.now.after_secs(STEP_SECS), token: Timer::Step.token() });
        actions.extend(std::mem::take(&mut self.subscribe_due).then_some(Action::Subscribe));
        self.recent_sends *= (-STEP_SECS / RATE_TIME_CONSTANT_SECS).exp();
        self.sample_unanswered();
        let occupancy = self.reported_occupancy();
        let lag = self.mean_latency.iter().copied().fold(0.0, f64::max);
        self.shedder.assess(occupancy, lag, self.requests.is_empty());
        self.log_shedding(actions);
        if self.shedder.steps.is_multiple_of(STEPS_PER_SLICE) {
            self.expire();
            self.customers.values_mut().for_each(CustomerQuota::recompute_slice);
        }
    }

    /// Counts attempts that have no answer yet by their age, at the rate at which they would be counted once
    /// answered.
    fn sample_unanswered(&mut self) {
        let mut samples = Vec::new();
        let attempts = self.usable_servers().flat_map(|server| &server.in_flight);
        for attempt in attempts.filter(|attempt| attempt.is_work(self.now, LOST_IS_RETRIED)) {
            let age = self.now.since(attempt.sent_at);
            let request = self.requests.get(&attempt.id);
            if let Some(request) = request.filter(|r| r.open && age > self.mean_latency[r.class]) {
                let class = request.class;
                samples.push((STEP_SECS / age, self.relative_cost(class), age / self.latency_target(class)));
            }
        }
        for (count, cost, late) in samples {
            self.shedder.record_latency(count, cost, late);
        }
    }

    /// The mean occupancy that the servers report: busy processors, and queues against the answers of one
    /// second. `None` where none reports anything.
    fn reported_occupancy(&self) -> Option<f64> {
        let (mut is_reported, mut sum, mut count) = (false, 0.0, 0.0);
        for server in self.usable_servers() {
            let queue = server.decayed_queue(self.now);
            is_reported = is_reported || server.utilization.is_some() || queue > MIN_REPORTED_QUEUE;
            sum = sum + busy_share(server, queue) + queue / self.answers_of_all_gateways(server);
            count += 1.0;
        }
        is_reported.then_some(sum / count)
    }

    /// What a server answers in a second, to all gateways together.
    fn answers_of_all_gateways(&self, server: &Server) -> f64 {
        (server.answer_rate.get(self.now) * f64::from(self.settings.gateways)).max(1.0)
    }

    fn log_shedding(&mut self, actions: &mut Vec<Action>) {
        let admitted = self.shedder.admitted_fraction;
        let is_shedding = admitted < SHEDDING_BELOW;
        let is_clear = admitted >= 1.0;
        let changes = self.shedding != is_shedding && (is_shedding || is_clear);
        if changes {
            self.shedding = !self.shedding;
            actions.push(Action::Log(format!("shedding: {}, f {admitted:.2}", self.shedding)));
        }
    }

    /// Forgets servers that are gone once no request is bound by them, as ids of servers are ever new, and
    /// idle customers.
    fn expire(&mut self) {
        let (now, requests) = (self.now, &self.requests);
        let is_referenced =
            |id| requests.values().any(|r| r.attempts.iter().any(|attempt| attempt.server == id));
        self.servers.retain(|&id, server| server.info.lifecycle != Lifecycle::Gone || is_referenced(id));
        self.customers.retain(|_, customer| {
            now.since(customer.refilled_at) < CUSTOMER_TTL_SECS || customer.in_flight > 0
        });
    }
}

/// The share of a server that is busy: as it reports, else all of it where requests wait.
fn busy_share(server: &Server, queue: f64) -> f64 {
    let by_queue = if queue > MIN_REPORTED_QUEUE { 1.0 } else { 0.0 };
    server.utilization.map_or(by_queue, |utilization| utilization.min(1.0))
}
