//! Load balancing: which server the next attempt of a request goes to.
//!
//! Of the servers that may take it, the one with the lowest cost: its slowness against its class, times its
//! load, times penalties for failures, for crossing zones, for a second attempt at the same server, for
//! servers outside of this gateway's subset and for servers that are warming up. A little chance keeps
//! gateways that choose at the same moment apart.

use super::in_flight_limits::InFlightLimits;
use super::request::Request;
use super::server::{Server, RATE_TIME_CONSTANT_SECS, SLOWNESS_HALF_LIFE_SECS};
use super::{Gateway, MachineKind, MIN_TIME_LEFT};
use crate::api::{Lifecycle, Placement, ServerId, Settings, Time};
use crate::arithmetic::sanitize;
use crate::failure_rate::FailureRate;
use std::collections::BTreeMap;

/// Weight of failures in the cost (ours: a server that fails is the last resort). By server and class, as one
/// class may fail where the others are served and their answers clear nothing; by zone for connections.
const FAILURE_COST_WEIGHT: f64 = 40.0;
/// Weight of the price of crossing zones (ours).
const CROSS_ZONE_COST_WEIGHT: f64 = 4.0;
/// Factor for a second attempt at the same server (ours).
const SAME_SERVER_COST: f64 = 10.0;
/// Weight of chance (ours).
const CHANCE_COST_WEIGHT: f64 = 0.1;
/// Factor for a server outside of this gateway's subset (ours: two of the others would be busy).
const OUTSIDE_SUBSET_COST: f64 = 3.0;
/// Factor for a server that is warming up and is due its share (ours).
const WARMING_UP_COST: f64 = 0.5;
/// Attempts that a server may always have in flight from this gateway (ours: its equal share would be one at
/// each server, which a gateway with more than its share of the traffic has in flight by chance; the bound on
/// the sum holds as before).
const MIN_IN_FLIGHT_FROM_HERE: f64 = 2.0;

/// What a choice is made by, alike for all servers.
struct Choice<'a> {
    now: Time,
    settings: &'a Settings,
    machine_kinds: &'a BTreeMap<u32, MachineKind>,
    zone_connect_failures: &'a BTreeMap<u32, FailureRate>,
    request: &'a Request,
    /// The zone that was decided on for this attempt.
    lane: Option<u32>,
    limits: InFlightLimits,
    /// The mean capacity of the usable servers.
    mean_capacity: f64,
    /// The mean latency of the request's class, in seconds.
    typical_latency: f64,
    /// What a warm server of mean capacity is sent a second.
    warm_rate: f64,
}

/// A server that may take the request.
struct Candidate {
    cost: f64,
    /// Seconds that an answer is expected to take.
    expected_latency: f64,
    /// It has not answered anything since an attempt was sent that is doubted by now.
    is_doubted: bool,
    id: ServerId,
}

/// How much a server can take, and what it has.
struct ServerLoad {
    /// Its capacity against the mean of the usable servers.
    capacity: f64,
    /// The part of its capacity that it has while it warms up; 1 once it is warm.
    warm_share: f64,
    /// The attempts that it has in flight.
    in_flight: f64,
}

impl Choice<'_> {
    fn load_of(&self, server: &Server) -> ServerLoad {
        ServerLoad {
            capacity: server.relative_capacity(self.mean_capacity),
            warm_share: server.warm_share(self.now, self.settings),
            in_flight: server.in_flight_count(),
        }
    }

    /// Whether a server may take one more attempt. Takes a warming-up server's tokens into account.
    fn admits(&self, server: &mut Server, load: &ServerLoad) -> bool {
        let limit = (self.limits.horizon_secs * server.answer_rate.get(self.now))
            .max(self.limits.min_per_server * load.capacity)
            .max(MIN_IN_FLIGHT_FROM_HERE);
        if load.in_flight >= limit {
            return false;
        }
        let rate = self.warm_rate * load.capacity * load.warm_share;
        load.warm_share >= 1.0 || server.admits_during_slow_start(self.now, rate, self.settings)
    }

    fn failures(&self, rate: Option<&FailureRate>) -> f64 {
        rate.map_or(0.0, |rate| rate.get(self.now, SLOWNESS_HALF_LIFE_SECS))
    }

    fn candidate(&self, server: &Server, load: &ServerLoad, chance: f64) -> Candidate {
        let ServerLoad { capacity, warm_share, in_flight } = *load;
        let kind = self.machine_kinds.get(&server.info.kind).map_or(1.0, |kind| kind.slowness);
        let unanswered = server
            .in_flight
            .first()
            .filter(|attempt| !attempt.body_in_transit && server.last_answer < attempt.sent_at);
        let unanswered_secs = unanswered.map_or(0.0, |attempt| self.now.since(attempt.sent_at));
        let slowness = server.slowness(self.now, kind).max(unanswered_secs / self.typical_latency);
        let failures = self.failures(server.failures.get(&self.request.class))
            + self.failures(self.zone_connect_failures.get(&server.info.zone));
        let load = 1.0 + (in_flight + server.decayed_queue(self.now)) / (capacity * warm_share);
        let is_local = server.info.zone == self.settings.zone || self.lane.is_some();
        let cross_zone = if is_local { 0.0 } else { sanitize(self.settings.cross_zone_price) };
        let was_attempted = self.request.attempts.iter().any(|attempt| attempt.server == server.info.id);
        let factor = |applies: bool, factor: f64| if applies { factor } else { 1.0 };
        let cost = slowness
            * (1.0 + FAILURE_COST_WEIGHT * failures)
            * load
            * (1.0 + CROSS_ZONE_COST_WEIGHT * cross_zone)
            * factor(was_attempted, SAME_SERVER_COST)
            * (1.0 + CHANCE_COST_WEIGHT * chance)
            * factor(!server.is_in_subset, OUTSIDE_SUBSET_COST)
            * factor(warm_share < 1.0, WARMING_UP_COST)
            * factor(server.is_owed_request, 0.0);
        Candidate {
            cost,
            expected_latency: self.typical_latency * slowness,
            is_doubted: unanswered.is_some_and(|attempt| self.now >= attempt.doubted_at),
            id: server.info.id,
        }
    }
}

impl Gateway {
    /// Returns the server for a request's next attempt, if any may take it. A first attempt goes by the
    /// shares of zones that were decided on for the fleet.
    pub(super) fn choose_server(&mut self, request: &Request) -> Option<ServerId> {
        if self.zone_lanes.is_empty()
            || !request.attempts.is_empty()
            || matches!(request.placement, Placement::Cell(_))
        {
            return self.choose_server_in(request, None);
        }
        let turns = self.zone_lanes.turns(self.now);
        for zone in turns {
            if let Some(server) = self.choose_server_in(request, Some(zone)) {
                self.zone_lanes.on_sent(zone);
                return Some(server);
            }
        }
        None
    }

    /// The same among the servers of one zone, or of all that are open.
    fn choose_server_in(&mut self, request: &Request, lane: Option<u32>) -> Option<ServerId> {
        let fits = self.retry_constraint(request)?;
        let mean_capacity = self.mean_capacity();
        let limits = self.in_flight_limits(request, mean_capacity)?;
        let warm_rate = self.warm_rate(mean_capacity);
        let chances: Vec<f64> = (0..self.servers.len()).map(|_| self.random.uniform()).collect();
        let choice = Choice {
            now: self.now,
            settings: &self.settings,
            machine_kinds: &self.machine_kinds,
            zone_connect_failures: &self.zone_connect_failures,
            request,
            lane,
            limits,
            mean_capacity,
            typical_latency: self.mean_latency[request.class].max(1e-6),
            warm_rate,
        };
        let mut best: Option<Candidate> = None;
        for (server, chance) in self.servers.values_mut().zip(chances) {
            let info = &server.info;
            let is_usable = info.lifecycle == Lifecycle::Running && !self.disabled.contains_key(&info.id);
            let is_open = lane.map_or(self.zone_lanes.is_open(info.zone), |lane| lane == info.zone);
            if !(is_usable && is_open && fits(info)) {
                continue;
            }
            let load = choice.load_of(server);
            if !choice.admits(server, &load) {
                continue;
            }
            let candidate = choice.candidate(server, &load, chance);
            if best.as_ref().is_none_or(|best| candidate.cost < best.cost) {
                best = Some(candidate);
            }
        }
        best.filter(|best| self.is_hopeful(request, best)).map(|best| best.id)
    }

    /// Whether an attempt at this server can still be of use. A first attempt may go to a slow server that
    /// answers: that shows when it has recovered.
    fn is_hopeful(&self, request: &Request, server: &Candidate) -> bool {
        if request.attempts.is_empty() {
            return !server.is_doubted;
        }
        MIN_TIME_LEFT * server.expected_latency <= request.latency_deadline.since(self.now)
    }

    fn mean_capacity(&self) -> f64 {
        let (count, total) = self
            .usable_servers()
            .fold((0.0, 0.0), |(count, total), server| (count + 1.0, total + server.info.capacity));
        total / f64::max(count, 1.0)
    }

    /// What a warm server of mean capacity is sent a second when each server gets its share; a mean over all
    /// servers would fall with those that are warming up. Before warming-up servers alone the demand counts
    /// as well: by what is sent, which is nothing, they would wait for ever.
    fn warm_rate(&self, mean_capacity: f64) -> f64 {
        let now = self.now;
        let age = now.since(self.started_at.unwrap_or(now)).clamp(1.0, RATE_TIME_CONSTANT_SECS);
        let warm_capacity: f64 = self
            .usable_servers()
            .filter(|server| server.is_in_subset)
            .map(|server| server.relative_capacity(mean_capacity) * server.warm_share(now, &self.settings))
            .sum();
        let all_warming_up = self.usable_servers().all(|server| server.warm_share(now, &self.settings) < 1.0);
        let demand: f64 =
            self.shedder.priorities.iter().filter(|_| all_warming_up).map(|priority| priority.demand).sum();
        f64::max(self.recent_sends / age, demand) / f64::max(warm_capacity, 0.1)
    }
}
