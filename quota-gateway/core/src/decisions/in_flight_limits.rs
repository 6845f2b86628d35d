//! How many attempts may be in flight, at one server from this gateway and at all servers from all gateways.
//!
//! By Little's law, what a server answers a second times the time that an answer may take is what it can
//! hold. Many gateways with one attempt each at every server are a jam too, so the sum is bounded by all
//! answers together, and not by the larger of two bounds at each server.

use super::request::Request;
use super::{Gateway, LOST_FREES_CAPACITY};
use crate::arithmetic::{ewma, sanitize};

/// Attempts that all gateways together may always have in flight at a server (ours); beyond, its answer rate
/// bounds them ...
const MIN_IN_FLIGHT_PER_SERVER: f64 = 3.0;
/// ... at what it answers in this share of the mean latency target, twice for the most valuable classes
/// (ours) ...
const SERVER_TARGET_SHARE: f64 = 0.08;
/// ... and all servers together at what they answer in this share, as one may be busier than the rest (ours).
const TOTAL_TARGET_SHARE: f64 = 0.12;
/// All attempts in flight against the sum of these bounds, within the quota (ours: service is uneven) ...
const TOTAL_LIMIT_WITHIN_QUOTA: f64 = 1.5;
/// ... and beyond it (ours: only where there is capacity to spare).
const TOTAL_LIMIT_OVER_QUOTA: f64 = 0.5;
/// Weight of a choice in the average of attempts in flight (ours: a burst of two by chance is no jam).
const IN_FLIGHT_WEIGHT: f64 = 0.5;

/// What one server may have in flight from this gateway.
#[derive(Clone, Copy)]
pub(super) struct InFlightLimits {
    /// Seconds of its answers.
    pub(super) horizon_secs: f64,
    /// At the least, for a server of mean capacity.
    pub(super) min_per_server: f64,
}

/// What all usable servers have and do together.
struct Totals {
    in_flight: f64,
    answers_per_sec: f64,
    relative_capacity: f64,
}

impl Gateway {
    /// Returns the limits for a request; `None` where all attempts in flight leave no capacity.
    pub(super) fn in_flight_limits(
        &mut self,
        request: &Request,
        mean_capacity: f64,
    ) -> Option<InFlightLimits> {
        let target = self.weighted_latency_target(request);
        let min_per_server = MIN_IN_FLIGHT_PER_SERVER / f64::from(self.settings.gateways);
        let totals = self.totals(mean_capacity);
        self.mean_in_flight = ewma(self.mean_in_flight, totals.in_flight, IN_FLIGHT_WEIGHT);
        let share = if request.within_quota { TOTAL_LIMIT_WITHIN_QUOTA } else { TOTAL_LIMIT_OVER_QUOTA };
        let by_answers = TOTAL_TARGET_SHARE * target * totals.answers_per_sec;
        let limit = share * by_answers.max(min_per_server * totals.relative_capacity);
        (self.mean_in_flight < limit)
            .then_some(InFlightLimits { horizon_secs: SERVER_TARGET_SHARE * target, min_per_server })
    }

    /// The mean latency target of all classes in seconds, up to twice that for the most valuable class.
    fn weighted_latency_target(&self, request: &Request) -> f64 {
        let classes = &self.settings.classes;
        let sum: f64 = classes.iter().map(|class| class.latency_target.as_secs_f64()).sum();
        let mean = sum / classes.len() as f64;
        mean * (1.0 + sanitize(classes[request.class].value) / self.highest_value())
    }

    fn totals(&self, mean_capacity: f64) -> Totals {
        let mut totals = Totals { in_flight: 0.0, answers_per_sec: 0.0, relative_capacity: 0.0 };
        for server in self.usable_servers() {
            // A lost attempt is no work, and would take capacity of the others until its deadline.
            let attempts = server.in_flight.iter();
            let here = attempts.filter(|attempt| attempt.is_work(self.now, LOST_FREES_CAPACITY)).count();
            totals.in_flight += here as f64 + f64::from(server.elsewhere);
            totals.answers_per_sec += server.answer_rate.get(self.now);
            totals.relative_capacity += server.relative_capacity(mean_capacity);
        }
        totals
    }
}
