//! Load balancing: selects the server for the next attempt of a request.
//!
//! Among the servers that may take the attempt, the one with the lowest cost is selected. The cost is the
//! server's latency relative to the request's class, times its load, times factors for failures, for crossing
//! zones, for a second attempt at the same server, for servers outside of this gateway's subset and for
//! servers in slow start. Random jitter keeps gateways that select at the same moment from selecting the same
//! server.

use super::in_flight_limits::InFlightLimits;
use super::request::Request;
use super::server::{Server, HEALTH_HALF_LIFE_SECS, RATE_TIME_CONSTANT_SECS};
use super::{Gateway, MachineKind, MIN_TIME_LEFT_LATENCIES};
use crate::api::{Lifecycle, Placement, ServerId, Settings, Time};
use crate::arithmetic::sanitize;
use crate::failure_rate::FailureRate;
use std::collections::BTreeMap;

/// Weight of failure rates in the cost. It is high, so that a failing server is the last resort. Failures
/// count by server and class, because one class may fail at a server that serves the others; failed connects
/// count by zone.
const FAILURE_COST_WEIGHT: f64 = 40.0;
/// Weight of the price of crossing zones.
const CROSS_ZONE_COST_WEIGHT: f64 = 4.0;
/// Cost factor for a second attempt at the same server.
const SAME_SERVER_COST: f64 = 10.0;
/// Weight of the random jitter.
const JITTER_COST_WEIGHT: f64 = 0.1;
/// Cost factor for a server outside of this gateway's subset. Such a server is selected when the servers of
/// the subset have about two attempts in flight.
const OUTSIDE_SUBSET_COST: f64 = 3.0;
/// Cost factor for a server in slow start that has tokens left, so that it gets its share.
const WARMING_UP_COST: f64 = 0.5;
/// Attempts that a server may always have in flight from this gateway. With an equal share of one, a gateway
/// that gets more than its share of the traffic would reach the limit by chance. The limit on the total still
/// applies.
const MIN_IN_FLIGHT_PER_GATEWAY: f64 = 2.0;

/// The inputs of one server selection that are the same for all servers.
struct SelectionContext<'a> {
    now: Time,
    settings: &'a Settings,
    machine_kinds: &'a BTreeMap<u32, MachineKind>,
    zone_connect_failures: &'a BTreeMap<u32, FailureRate>,
    request: &'a Request,
    /// The zone that the zone shares select for this attempt.
    assigned_zone: Option<u32>,
    limits: InFlightLimits,
    /// The mean capacity of the usable servers.
    mean_capacity: f64,
    /// The mean latency of the request's class, in seconds.
    typical_latency: f64,
    /// Attempts per second that a warm server of mean capacity is sent.
    warm_rate: f64,
}

/// A server that may take the attempt.
struct Candidate {
    cost: f64,
    /// Expected latency of a response in seconds.
    expected_latency: f64,
    /// Whether its oldest attempt in flight is overdue, and it has sent no response since that attempt was
    /// sent.
    is_unresponsive: bool,
    id: ServerId,
}

/// Capacity and load of a server.
struct ServerLoad {
    /// Capacity relative to the mean of the usable servers.
    capacity: f64,
    /// The share of its capacity that is available during slow start; 1 after it.
    warm_share: f64,
    /// Number of attempts in flight.
    in_flight: f64,
}

impl SelectionContext<'_> {
    fn server_load(&self, server: &Server) -> ServerLoad {
        ServerLoad {
            capacity: server.relative_capacity(self.mean_capacity),
            warm_share: server.warm_share(self.now, self.settings),
            in_flight: server.in_flight_count(),
        }
    }

    /// Returns whether a server may take one more attempt, by its in-flight limit and its slow-start tokens.
    fn admits(&self, server: &mut Server, load: &ServerLoad) -> bool {
        let limit = (self.limits.horizon_secs * server.response_rate.get(self.now))
            .max(self.limits.min_per_server * load.capacity)
            .max(MIN_IN_FLIGHT_PER_GATEWAY);
        if load.in_flight >= limit {
            return false;
        }
        let rate = self.warm_rate * load.capacity * load.warm_share;
        load.warm_share >= 1.0 || server.admits_during_slow_start(self.now, rate, self.settings)
    }

    fn failures(&self, rate: Option<&FailureRate>) -> f64 {
        rate.map_or(0.0, |rate| rate.get(self.now, HEALTH_HALF_LIFE_SECS))
    }

    fn candidate(&self, server: &Server, load: &ServerLoad, jitter: f64) -> Candidate {
        let ServerLoad { capacity, warm_share, in_flight } = *load;
        let kind = self.machine_kinds.get(&server.info.kind).map_or(1.0, |kind| kind.latency_ratio);
        let unanswered = server
            .in_flight
            .first()
            .filter(|attempt| !attempt.body_in_transit && server.last_response_at < attempt.sent_at);
        let unanswered_secs = unanswered.map_or(0.0, |attempt| self.now.since(attempt.sent_at));
        let latency_ratio =
            server.decayed_latency_ratio(self.now, kind).max(unanswered_secs / self.typical_latency);
        let failures = self.failures(server.failures.get(&self.request.class))
            + self.failures(self.zone_connect_failures.get(&server.info.zone));
        let load = 1.0 + (in_flight + server.decayed_queue(self.now)) / (capacity * warm_share);
        let is_local = server.info.zone == self.settings.zone || self.assigned_zone.is_some();
        let cross_zone = if is_local { 0.0 } else { sanitize(self.settings.cross_zone_price) };
        let was_attempted = self.request.attempts.iter().any(|attempt| attempt.server == server.info.id);
        let factor = |applies: bool, factor: f64| if applies { factor } else { 1.0 };
        let cost = latency_ratio
            * (1.0 + FAILURE_COST_WEIGHT * failures)
            * load
            * (1.0 + CROSS_ZONE_COST_WEIGHT * cross_zone)
            * factor(was_attempted, SAME_SERVER_COST)
            * (1.0 + JITTER_COST_WEIGHT * jitter)
            * factor(!server.is_in_subset, OUTSIDE_SUBSET_COST)
            * factor(warm_share < 1.0, WARMING_UP_COST)
            * factor(server.needs_probe, 0.0);
        Candidate {
            cost,
            expected_latency: self.typical_latency * latency_ratio,
            is_unresponsive: unanswered.is_some_and(|attempt| self.now >= attempt.response_due_at),
            id: server.info.id,
        }
    }
}

impl Gateway {
    /// Returns the server for a request's next attempt, if any can take it. First attempts without a cell
    /// follow the zone shares, if there are any.
    pub(super) fn choose_server(&mut self, request: &Request) -> Option<ServerId> {
        if self.zone_round_robin.is_empty()
            || !request.attempts.is_empty()
            || matches!(request.placement, Placement::Cell(_))
        {
            return self.choose_server_in(request, None);
        }
        let zones = self.zone_round_robin.order_zones(self.now);
        for zone in zones {
            if let Some(server) = self.choose_server_in(request, Some(zone)) {
                self.zone_round_robin.on_sent(zone);
                return Some(server);
            }
        }
        None
    }

    /// Selects a server in the assigned zone, or in any open zone if none is assigned.
    fn choose_server_in(&mut self, request: &Request, assigned_zone: Option<u32>) -> Option<ServerId> {
        let is_allowed = self.retry_constraint(request)?;
        let mean_capacity = self.mean_capacity();
        let limits = self.in_flight_limits(request, mean_capacity)?;
        let warm_rate = self.warm_rate(mean_capacity);
        let jitters: Vec<f64> = (0..self.servers.len()).map(|_| self.random.uniform()).collect();
        let context = SelectionContext {
            now: self.now,
            settings: &self.settings,
            machine_kinds: &self.machine_kinds,
            zone_connect_failures: &self.zone_connect_failures,
            request,
            assigned_zone,
            limits,
            mean_capacity,
            typical_latency: self.mean_latency[request.class].max(1e-6),
            warm_rate,
        };
        let mut best: Option<Candidate> = None;
        for (server, jitter) in self.servers.values_mut().zip(jitters) {
            let info = &server.info;
            let is_usable = info.lifecycle == Lifecycle::Running && !self.disabled.contains_key(&info.id);
            let is_open = assigned_zone
                .map_or(self.zone_round_robin.is_open(info.zone), |assigned_zone| assigned_zone == info.zone);
            if !(is_usable && is_open && is_allowed(info)) {
                continue;
            }
            let load = context.server_load(server);
            if !context.admits(server, &load) {
                continue;
            }
            let candidate = context.candidate(server, &load, jitter);
            if best.as_ref().is_none_or(|best| candidate.cost < best.cost) {
                best = Some(candidate);
            }
        }
        best.filter(|best| self.can_succeed_in_time(request, best)).map(|best| best.id)
    }

    /// Returns whether an attempt at this server can still succeed in time. A first attempt may also go to a
    /// slow server as long as it responds, because only its responses show when it has recovered.
    fn can_succeed_in_time(&self, request: &Request, server: &Candidate) -> bool {
        if request.attempts.is_empty() {
            return !server.is_unresponsive;
        }
        MIN_TIME_LEFT_LATENCIES * server.expected_latency <= request.latency_deadline.since(self.now)
    }

    fn mean_capacity(&self) -> f64 {
        let (count, total) = self
            .usable_servers()
            .fold((0.0, 0.0), |(count, total), server| (count + 1.0, total + server.info.capacity));
        total / f64::max(count, 1.0)
    }

    /// Attempts per second that a warm server of mean capacity is sent if each server gets its share. Servers
    /// in slow start count only by their warm share, since they would lower a plain mean over all servers. If
    /// all servers are in slow start, the demand counts as well: the send rate may still be zero, and they
    /// would never get a request.
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
