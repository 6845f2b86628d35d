//! Limits on this gateway's attempts in flight, at one server and at all servers together.
//!
//! By Little's law, the number of attempts that a server can have in flight is its response rate times the
//! time that a response may take. Many gateways with one attempt each at every server would overload the
//! servers as well, so the total is limited by the response rate of all servers together, instead of by the
//! larger of two limits at each server.

use super::request::Request;
use super::{Gateway, LOST_RELEASE_TIMEOUTS};
use crate::arithmetic::{ewma, sanitize};

/// Attempts that all gateways together may always have in flight at a server, whatever its response rate.
const MIN_IN_FLIGHT_PER_SERVER: f64 = 3.0;
/// The limit on attempts in flight at one server is the number that it completes in this share of the mean
/// latency target, or in twice this share for the most valuable class.
const SERVER_TARGET_SHARE: f64 = 0.08;
/// The limit on attempts in flight at all servers together is the number that they complete in this share of
/// the mean latency target. It is larger than [`SERVER_TARGET_SHARE`] because one server may be busier than
/// the rest.
const TOTAL_TARGET_SHARE: f64 = 0.12;
/// Multiple of the total limit for requests within their quota. It is above 1 because the rate of responses
/// varies.
const TOTAL_LIMIT_WITHIN_QUOTA: f64 = 1.5;
/// Multiple of the total limit for requests over their quota, which are sent only if there is spare capacity.
const TOTAL_LIMIT_OVER_QUOTA: f64 = 0.5;
/// Weight of one sample in the average of attempts in flight. Averaging keeps a random burst of two requests
/// from counting as overload.
const IN_FLIGHT_WEIGHT: f64 = 0.5;

/// Limits on attempts in flight from this gateway at one server.
#[derive(Clone, Copy)]
pub(super) struct InFlightLimits {
    /// A server's limit is the number of attempts that it completes in this many seconds.
    pub(super) horizon_secs: f64,
    /// Lower bound of the limit for a server of mean capacity.
    pub(super) min_per_server: f64,
}

/// Totals over all usable servers.
struct Totals {
    in_flight: f64,
    responses_per_sec: f64,
    relative_capacity: f64,
}

impl Gateway {
    /// Returns the limits for a request; `None` if the total limit is reached.
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
        let by_response_rate = TOTAL_TARGET_SHARE * target * totals.responses_per_sec;
        let limit = share * by_response_rate.max(min_per_server * totals.relative_capacity);
        (self.mean_in_flight < limit)
            .then_some(InFlightLimits { horizon_secs: SERVER_TARGET_SHARE * target, min_per_server })
    }

    /// The mean latency target of all classes in seconds, scaled by the request's value: by 2 for the most
    /// valuable class.
    fn weighted_latency_target(&self, request: &Request) -> f64 {
        let classes = &self.settings.classes;
        let sum: f64 = classes.iter().map(|class| class.latency_target.as_secs_f64()).sum();
        let mean = sum / classes.len() as f64;
        mean * (1.0 + sanitize(classes[request.class].value) / self.highest_value())
    }

    fn totals(&self, mean_capacity: f64) -> Totals {
        let mut totals = Totals { in_flight: 0.0, responses_per_sec: 0.0, relative_capacity: 0.0 };
        for server in self.usable_servers() {
            // A lost attempt is no load, and counting it would take capacity from other requests until its
            // deadline.
            let attempts = server.in_flight.iter();
            let here =
                attempts.filter(|attempt| attempt.occupies_capacity(self.now, LOST_RELEASE_TIMEOUTS)).count();
            totals.in_flight += here as f64 + f64::from(server.peer_in_flight);
            totals.responses_per_sec += server.response_rate.get(self.now);
            totals.relative_capacity += server.relative_capacity(mean_capacity);
        }
        totals
    }
}
