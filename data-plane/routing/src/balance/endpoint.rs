//! State of one model server at this gateway, and the estimate of its load.
//!
//! The load is the gateway's own number of requests in flight, which is exact, plus an estimate of
//! the requests from other gateways. The estimate has two sources. The server's own report
//! (`X-Server-Load`) covers all gateways but ages between responses. The updates of peer gateways
//! cover only the local zone but arrive every few tens of milliseconds. The larger of the two is
//! used, because both underestimate the load as they age.

use super::freshness::is_fresh;
use super::outlier::{Ejection, FailureRate, ServerOutcome};
use crate::tuning::{duration_from_ms, Tuning};
use crate::Timestamp;
use marblecroft_protocol::load::ServerLoad;
use marblecroft_protocol::servers::Server;
use std::collections::HashMap;

/// Load that a server reports with each response (`X-Server-Load`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests that occupy a slot.
    pub running: u32,
    /// Number of requests in the server's queue.
    pub waiting: u32,
    /// Number of slots.
    pub slots: u32,
}

impl ReportedLoad {
    /// Parses `RUNNING,WAITING,SLOTS`; returns `None` if one of the three is missing or not a
    /// number.
    ///
    /// ```
    /// use marblecroft_routing::balance::ReportedLoad;
    /// assert_eq!(ReportedLoad::parse("6, 1, 8"), Some(ReportedLoad { running: 6, waiting: 1, slots: 8 }));
    /// assert_eq!(ReportedLoad::parse("6,1"), None);
    /// ```
    pub fn parse(text: &str) -> Option<ReportedLoad> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        let mut next = || numbers.next().flatten();
        Some(ReportedLoad { running: next()?, waiting: next()?, slots: next()? })
    }
}

/// Load of one peer gateway on a server.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    /// Number of the peer's requests at the server.
    in_flight: u32,
    /// Time of the peer's update.
    reported_at: Timestamp,
}

/// Load from other gateways, derived from the server's last report.
#[derive(Clone, Copy, Debug)]
struct ObservedLoad {
    others_in_flight: f64,
    reported_at: Timestamp,
}

/// Prompt tokens that were sent to a server and have probably not been prefilled yet. Drains at a
/// constant rate.
#[derive(Clone, Copy, Debug, Default)]
struct PrefillBacklog {
    tokens: f64,
    as_of: Timestamp,
}

impl PrefillBacklog {
    fn tokens(&self, tuning: &Tuning, now: Timestamp) -> f64 {
        let prefilled = now.saturating_sub(self.as_of).as_secs_f64() * 1000.0 * tuning.prefill_tokens_per_ms;
        (self.tokens - prefilled).max(0.0)
    }

    fn add(&mut self, tuning: &Tuning, tokens: u32, now: Timestamp) {
        self.tokens = self.tokens(tuning, now) + f64::from(tokens);
        self.as_of = now;
    }
}

/// State of one server incarnation at this gateway.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    /// The server's entry in the latest list that contains it.
    pub(super) server: Server,
    /// Whether the server is in the latest list. A server that left the list is kept until its
    /// requests have finished.
    pub(super) listed: bool,
    /// Number of this gateway's requests in flight at the server.
    pub(super) in_flight: u32,
    prefill: PrefillBacklog,
    observed: Option<ObservedLoad>,
    /// Load of peer gateways on the server, by the hash of the peer's name.
    peer_loads: HashMap<u64, PeerLoad>,
    pub(super) ejection: Ejection,
    /// Failure rate that this gateway has observed itself.
    pub(super) failure_rate: FailureRate,
    /// Highest failure rate that peer gateways have reported. It is kept separate so that it is not
    /// reported back to them.
    peer_failure_rate: FailureRate,
}

impl Endpoint {
    pub(super) fn new(server: Server) -> Endpoint {
        Endpoint {
            server,
            listed: true,
            in_flight: 0,
            prefill: PrefillBacklog::default(),
            observed: None,
            peer_loads: HashMap::new(),
            ejection: Ejection::default(),
            failure_rate: FailureRate::default(),
            peer_failure_rate: FailureRate::default(),
        }
    }

    /// Returns whether requests may be sent to the server.
    pub(super) fn is_available(&self) -> bool {
        self.listed && !self.server.draining
    }

    /// Returns whether the server has ever reported its load.
    pub(super) fn reports_load(&self) -> bool {
        self.observed.is_some()
    }

    pub(super) fn on_reported_load(&mut self, load: ReportedLoad, now: Timestamp) {
        let others = f64::from(load.running) + f64::from(load.waiting) - f64::from(self.in_flight);
        self.observed = Some(ObservedLoad { others_in_flight: others.max(0.0), reported_at: now });
    }

    /// Removes the load reported by a peer gateway.
    pub(super) fn remove_peer(&mut self, peer: u64) {
        self.peer_loads.remove(&peer);
    }

    /// Records a peer gateway's load on this server. A reported failure rate replaces the stored
    /// one only if it is higher than the stored one after decay.
    pub(super) fn on_peer_load(&mut self, tuning: &Tuning, peer: u64, load: &ServerLoad, now: Timestamp) {
        if load.in_flight > 0 {
            self.peer_loads.insert(peer, PeerLoad { in_flight: load.in_flight, reported_at: now });
        }
        self.add_prompt_tokens(tuning, load.prompt_tokens, now);
        let reported = f64::from(load.failure_share) / f64::from(u8::MAX);
        if reported > self.peer_failure_rate.decayed(tuning, now) {
            self.peer_failure_rate = FailureRate::reported(reported, now);
        }
    }

    pub(super) fn on_outcome(&mut self, tuning: &Tuning, outcome: ServerOutcome, now: Timestamp) {
        match outcome {
            ServerOutcome::Succeeded => self.failure_rate.record(tuning, 0.0, now),
            ServerOutcome::Failed => self.failure_rate.record(tuning, 1.0, now),
            // A full server is not a sign of bad health.
            ServerOutcome::Full => {}
        }
        self.ejection.on_outcome(outcome, now);
    }

    /// Returns the estimated number of requests at the server, from all gateways.
    pub(super) fn load(&self, tuning: &Tuning, now: Timestamp) -> f64 {
        let others = self.observed.map_or(0.0, |observed| {
            let half_life = duration_from_ms(tuning.reported_load_half_life_ms);
            let half_lives = now.saturating_sub(observed.reported_at).as_secs_f64() / half_life.as_secs_f64();
            observed.others_in_flight * (-half_lives).exp2()
        });
        f64::from(self.in_flight) + others.max(self.peer_in_flight(tuning, now))
    }

    /// Returns the requests of all peer gateways whose update has not expired.
    fn peer_in_flight(&self, tuning: &Tuning, now: Timestamp) -> f64 {
        let ttl = duration_from_ms(tuning.peer_load_ttl_ms);
        let recent = self.peer_loads.values().filter(|peer| is_fresh(peer.reported_at, ttl, now));
        recent.map(|peer| f64::from(peer.in_flight)).sum()
    }

    /// Returns the load as a share of the slots; more than 1 if requests are queued.
    pub(super) fn occupancy(&self, tuning: &Tuning, now: Timestamp) -> f64 {
        self.load(tuning, now) / f64::from(self.server.slots.max(1))
    }

    /// Returns the number of prompt tokens that the server has probably not prefilled yet.
    pub(super) fn unprefilled_tokens(&self, tuning: &Tuning, now: Timestamp) -> f64 {
        self.prefill.tokens(tuning, now)
    }

    pub(super) fn add_prompt_tokens(&mut self, tuning: &Tuning, tokens: u32, now: Timestamp) {
        self.prefill.add(tuning, tokens, now);
    }

    /// Returns the failure rate to use for placement: the higher of the observed rate and the rate
    /// reported by peers.
    pub(super) fn effective_failure_rate(&self, tuning: &Tuning, now: Timestamp) -> f64 {
        self.failure_rate.decayed(tuning, now).max(self.peer_failure_rate.decayed(tuning, now))
    }
}
