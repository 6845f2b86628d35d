//! The observations between two reports: the outcomes of attempts by zone.

use marblecroft_control_messages::report::{AttemptCounts, ZoneObservation};
use marblecroft_quota_gateway_core::{
    AttemptNo, Lifecycle, NewRequest, Outcome, RequestId, Scope, ServerId, ServerInfo, Settings, Status, Time,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An attempt that is cancelled after at least this long counts as failed: its server was unresponsive.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(300);
/// The largest number of requests whose attempts are tracked, far above the number that one gateway has in
/// flight.
const MAX_TRACKED_REQUESTS: usize = 20_000;

/// An attempt of a request.
struct SentAttempt {
    server: ServerId,
    sent_at: Time,
    /// Whether it was counted as failed because its server is unresponsive. After that, only a successful
    /// response is counted.
    is_counted: bool,
    is_ended: bool,
}

/// A request that may still have an attempt in flight.
pub(super) struct TrackedRequest {
    units: f64,
    /// A server that does not respond within this time counts as unresponsive, even if the attempt is
    /// abandoned later.
    latency_target: Duration,
    attempts: Vec<SentAttempt>,
}

/// The observations of one report interval.
pub struct ObservedInterval {
    /// The units of all new requests.
    pub requested_units: f64,
    /// The outcomes and servers of each zone.
    pub zones: Vec<ZoneObservation>,
}

/// The observations since the last report.
#[derive(Default)]
pub struct Observations {
    servers: BTreeMap<ServerId, ServerInfo>,
    pub(super) requests: BTreeMap<RequestId, TrackedRequest>,
    /// The outcomes of attempts by zone.
    attempt_counts: BTreeMap<u32, AttemptCounts>,
    requested_units: f64,
}

impl Observations {
    /// Tracks a request that has arrived.
    pub fn on_request(&mut self, request: &NewRequest, settings: &Settings) {
        // A client's retry adds no demand.
        self.requested_units += if request.is_retry { 0.0 } else { request.units };
        let class = settings.classes.get(request.class.0);
        let latency_target = class.map_or(UNRESPONSIVE_AFTER, |class| class.latency_target);
        let tracked = TrackedRequest { units: request.units, latency_target, attempts: Vec::new() };
        self.requests.insert(request.id, tracked);
        if self.requests.len() > MAX_TRACKED_REQUESTS {
            self.requests.pop_first();
        }
    }

    /// Tracks an attempt that was sent.
    pub fn on_sent(&mut self, id: RequestId, server: ServerId, now: Time) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(SentAttempt { server, sent_at: now, is_counted: false, is_ended: false });
        }
    }

    /// Stops tracking a request that has its final response. If an attempt is still in flight, the request is
    /// tracked until that attempt's outcome.
    pub fn on_finished(&mut self, id: RequestId) {
        let has_ended = |request: &TrackedRequest| request.attempts.iter().all(|attempt| attempt.is_ended);
        if self.requests.get(&id).is_some_and(has_ended) {
            self.requests.remove(&id);
        }
    }

    /// Counts the outcome of an attempt.
    pub fn on_outcome(&mut self, outcome: &Outcome) {
        let AttemptNo(number) = outcome.attempt;
        let Some(request) = self.requests.get_mut(&outcome.id) else { return };
        let units = request.units;
        let attempt = request.attempts.get_mut(number as usize).map(|attempt| {
            attempt.is_ended = true;
            (attempt.server, attempt.is_counted)
        });
        if outcome.finished {
            self.requests.remove(&outcome.id);
        }
        let Some((server, is_counted)) = attempt else { return };
        let Some(zone) = self.zone_of(server) else { return };
        let counts = self.attempt_counts.entry(zone).or_default();
        match outcome.status {
            Status::Ok => counts.served += units,
            _ if is_counted => {}
            Status::Rejected => counts.rejected += units,
            Status::Error | Status::Reset | Status::TimedOut => counts.failed += units,
            Status::ConnectFailed => counts.connect_failed += units,
            // The server was unresponsive. An earlier cancellation is no evidence about the server.
            Status::Cancelled if outcome.elapsed >= UNRESPONSIVE_AFTER => counts.failed += units,
            Status::Cancelled | Status::NotSent => {}
        }
    }

    /// Applies an endpoint list. Returns whether a zone has lost its last running server.
    pub fn on_endpoint_list(&mut self, scope: Scope, servers: &[ServerInfo]) -> bool {
        let before = self.running_zones();
        if scope == Scope::Full {
            self.servers.clear();
        }
        for server in servers {
            if server.lifecycle == Lifecycle::Unlisted {
                self.servers.remove(&server.id);
            } else {
                self.servers.insert(server.id, server.clone());
            }
        }
        !self.running_zones().is_superset(&before)
    }

    /// Returns the observations since the last call; `zones` are the names of the zones.
    pub fn take(&mut self, zones: &[String], settings: &Settings, now: Time) -> ObservedInterval {
        self.count_unresponsive(now);
        let mut counts = std::mem::take(&mut self.attempt_counts);
        let zones = (0..).zip(zones).map(|(zone, name)| {
            let is_running = |s: &&ServerInfo| s.zone == zone && s.lifecycle == Lifecycle::Running;
            let running = self.servers.values().filter(is_running);
            let (servers, warm) = running.fold((0.0, 0.0), |(servers, warm), server| {
                (servers + 1.0, warm + warm_fraction(settings, server, now))
            });
            let zone_counts = counts.remove(&zone).unwrap_or_default();
            ZoneObservation { zone: name.clone(), attempts: zone_counts, servers, warm: warm.min(servers) }
        });
        let zones = zones.collect();
        ObservedInterval { requested_units: std::mem::take(&mut self.requested_units), zones }
    }

    /// The zones that have a running server.
    fn running_zones(&self) -> BTreeSet<u32> {
        let is_running = |server: &&ServerInfo| server.lifecycle == Lifecycle::Running;
        self.servers.values().filter(is_running).map(|server| server.zone).collect()
    }

    fn zone_of(&self, server: ServerId) -> Option<u32> {
        self.servers.get(&server).map(|server| server.zone)
    }

    /// Counts each attempt as failed, once, when its server has not responded within the latency target.
    /// Without this, the loss of a zone whose connections stay open would be noticed only when its attempts
    /// are abandoned.
    fn count_unresponsive(&mut self, now: Time) {
        let mut unresponsive = Vec::new();
        for request in self.requests.values_mut() {
            let latency_target = request.latency_target.as_secs_f64();
            for attempt in &mut request.attempts {
                let is_pending = !attempt.is_ended && !attempt.is_counted;
                if is_pending && now.since(attempt.sent_at) > latency_target {
                    attempt.is_counted = true;
                    unresponsive.push((attempt.server, request.units));
                }
            }
        }
        for (server, units) in unresponsive {
            if let Some(zone) = self.zone_of(server) {
                self.attempt_counts.entry(zone).or_default().failed += units;
            }
        }
    }
}

/// The fraction of its capacity that a server offers at `now`, which is less than 1 during its slow start.
fn warm_fraction(settings: &Settings, server: &ServerInfo, now: Time) -> f64 {
    let slow_start = settings.slow_start_duration.as_secs_f64();
    let age = server.started.map_or(slow_start, |started| now.since(started));
    let initial = settings.slow_start_initial_share.clamp(0.0, 1.0);
    if slow_start > 0.0 {
        (initial + (1.0 - initial) * age / slow_start).min(1.0)
    } else {
        1.0
    }
}
