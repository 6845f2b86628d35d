//! The periodic step: assesses the load every 100 ms, and recomputes the customers' slices once per second.

use super::load_shedding::STEP_SECS;
use super::quota::{CustomerQuota, CUSTOMER_TTL_SECS};
use super::server::{Server, RATE_TIME_CONSTANT_SECS};
use super::timer::Timer;
use super::{Gateway, LOST_RETRY_TIMEOUTS};
use crate::api::{Action, Lifecycle};

/// Steps between two computations of the slices: one second.
pub(super) const STEPS_PER_SLICE_UPDATE: u64 = 10;
/// Queue length from which a server counts as reporting its load, and as fully busy if it reports no
/// utilization.
const MIN_REPORTED_QUEUE: f64 = 0.5;
/// Admitted fraction below which the gateway logs that it sheds load. It logs the end when everything is
/// admitted.
const SHEDDING_THRESHOLD: f64 = 0.9;

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
        if self.shedder.steps.is_multiple_of(STEPS_PER_SLICE_UPDATE) {
            self.expire();
            self.customers.values_mut().for_each(CustomerQuota::recompute_slice);
        }
    }

    /// Records unanswered attempts that are older than their class's mean latency, with their age as the
    /// latency. Each counts as a fraction of a response, at the rate at which responses of that latency would
    /// be recorded.
    fn sample_unanswered(&mut self) {
        let mut samples = Vec::new();
        let attempts = self.usable_servers().flat_map(|server| &server.in_flight);
        for attempt in attempts.filter(|attempt| attempt.occupies_capacity(self.now, LOST_RETRY_TIMEOUTS)) {
            let age = self.now.since(attempt.sent_at);
            let request = self.requests.get(&attempt.id);
            if let Some(request) = request.filter(|r| r.open && age > self.mean_latency[r.class]) {
                let class = request.class;
                samples.push((STEP_SECS / age, self.relative_cost(class), age / self.latency_target(class)));
            }
        }
        for (count, cost, relative_latency) in samples {
            self.shedder.record_latency(count, cost, relative_latency);
        }
    }

    /// The mean occupancy that the servers report: their utilization, plus their queue length relative to the
    /// responses of one second. `None` if no server reports its load.
    fn reported_occupancy(&self) -> Option<f64> {
        let (mut is_reported, mut sum, mut count) = (false, 0.0, 0.0);
        for server in self.usable_servers() {
            let queue = server.decayed_queue(self.now);
            is_reported = is_reported || server.utilization.is_some() || queue > MIN_REPORTED_QUEUE;
            sum = sum + busy_share(server, queue) + queue / self.response_rate_all_gateways(server);
            count += 1.0;
        }
        is_reported.then_some(sum / count)
    }

    /// Estimated responses per second of a server to all gateways together.
    fn response_rate_all_gateways(&self, server: &Server) -> f64 {
        (server.response_rate.get(self.now) * f64::from(self.settings.gateways)).max(1.0)
    }

    fn log_shedding(&mut self, actions: &mut Vec<Action>) {
        let admitted = self.shedder.admitted_fraction;
        let is_shedding = admitted < SHEDDING_THRESHOLD;
        let is_clear = admitted >= 1.0;
        let changes = self.shedding != is_shedding && (is_shedding || is_clear);
        if changes {
            self.shedding = !self.shedding;
            actions.push(Action::Log(format!("shedding: {}, f {admitted:.2}", self.shedding)));
        }
    }

    /// Removes idle customers, and unlisted servers that no request refers to. Without this, the server map
    /// would grow without bound, since replacement servers have new ids.
    fn expire(&mut self) {
        let (now, requests) = (self.now, &self.requests);
        let is_referenced =
            |id| requests.values().any(|r| r.attempts.iter().any(|attempt| attempt.server == id));
        self.servers.retain(|&id, server| server.info.lifecycle != Lifecycle::Unlisted || is_referenced(id));
        self.customers.retain(|_, customer| {
            now.since(customer.refilled_at) < CUSTOMER_TTL_SECS || customer.in_flight > 0
        });
    }
}

/// The utilization that a server reports. If it reports none, 1 if requests are waiting and 0 otherwise.
fn busy_share(server: &Server, queue: f64) -> f64 {
    let by_queue = if queue > MIN_REPORTED_QUEUE { 1.0 } else { 0.0 };
    server.utilization.map_or(by_queue, |utilization| utilization.min(1.0))
}
