//! One model server as this gateway knows it, and the estimate of its load.
//!
//! The load is the sum of what the gateway knows exactly (its own requests in flight) and an estimate of what other gateways
//! have there. For the estimate there are two sources: the server's own report (`X-Server-Load`), which covers everybody
//! but ages between responses, and the updates of peer gateways, which cover only the local zone but come every few tens of
//! milliseconds. The larger one counts: both err towards too little when they age.

use super::freshness::is_fresh;
use super::outlier::{Ejection, FailureRate, ServerOutcome};
use crate::tuning::{duration_from_ms, Tuning};
use crate::Now;
use marblecroft_protocol::load::ServerLoad;
use marblecroft_protocol::servers::Server;
use std::collections::HashMap;

/// The load that a server reports with each response (`X-Server-Load`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that occupy a slot.
    pub running: u32,
    /// Requests in the server's queue.
    pub waiting: u32,
    /// Slots of the server.
    pub slots: u32,
}

impl ReportedLoad {
    /// Parses `RUNNING,WAITING,SLOTS`; returns `None` where one of the three is missing or not a number.
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

/// The load of one peer gateway at a server.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    /// Requests of the peer at the server.
    in_flight: u32,
    /// When the peer reported it.
    reported_at: Now,
}

/// Requests of other gateways, as the server's last report implies them.
#[derive(Clone, Copy, Debug)]
struct ObservedLoad {
    others_in_flight: f64,
    reported_at: Now,
}

/// Prompt tokens that were sent to a server and that it has probably not prefilled yet. Drains at a constant rate.
#[derive(Clone, Copy, Debug, Default)]
struct PrefillBacklog {
    tokens: f64,
    as_of: Now,
}

impl PrefillBacklog {
    fn tokens(&self, tuning: &Tuning, now: Now) -> f64 {
        let prefilled = now.saturating_sub(self.as_of).as_secs_f64() * 1000.0 * tuning.prefill_tokens_per_ms;
        (self.tokens - prefilled).max(0.0)
    }

    fn add(&mut self, tuning: &Tuning, tokens: u32, now: Now) {
        self.tokens = self.tokens(tuning, now) + f64::from(tokens);
        self.as_of = now;
    }
}

/// One incarnation of a server, as this gateway knows it.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    /// The server as the latest list has it.
    pub(super) server: Server,
    /// Whether the latest list has it. One that left the list stays here until its requests are finished.
    pub(super) listed: bool,
    /// Requests of this gateway at the server.
    pub(super) in_flight: u32,
    prefill: PrefillBacklog,
    observed: Option<ObservedLoad>,
    /// The load of peer gateways at the server, by the peers' hashes.
    peer_loads: HashMap<u64, PeerLoad>,
    pub(super) ejection: Ejection,
    /// The failure rate that this gateway has measured itself.
    pub(super) failure_rate: FailureRate,
    /// The highest failure rate that peer gateways have reported. Kept apart, so that it is not reported back to them.
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

    /// Whether requests may be sent to it.
    pub(super) fn is_available(&self) -> bool {
        self.listed && !self.server.draining
    }

    /// Whether the server has ever reported its load.
    pub(super) fn reports_load(&self) -> bool {
        self.observed.is_some()
    }

    pub(super) fn on_reported_load(&mut self, load: ReportedLoad, now: Now) {
        let others = f64::from(load.running) + f64::from(load.waiting) - f64::from(self.in_flight);
        self.observed = Some(ObservedLoad { others_in_flight: others.max(0.0), reported_at: now });
    }

    /// Drops what a peer gateway reported.
    pub(super) fn forget_peer(&mut self, peer: u64) {
        self.peer_loads.remove(&peer);
    }

    /// Takes over what a peer gateway reports of this server. Of the failure rate it is the highest that counts, until it has
    /// decayed below a lower one.
    pub(super) fn on_peer_load(&mut self, tuning: &Tuning, peer: u64, load: &ServerLoad, now: Now) {
        if load.in_flight > 0 {
            self.peer_loads.insert(peer, PeerLoad { in_flight: load.in_flight, reported_at: now });
        }
        self.add_prompt_tokens(tuning, load.prompt_tokens, now);
        let reported = f64::from(load.failure_share) / f64::from(u8::MAX);
        if reported > self.peer_failure_rate.decayed(tuning, now) {
            self.peer_failure_rate = FailureRate::reported(reported, now);
        }
    }

    pub(super) fn on_outcome(&mut self, tuning: &Tuning, outcome: ServerOutcome, now: Now) {
        match outcome {
            ServerOutcome::Succeeded => self.failure_rate.record(tuning, 0.0, now),
            ServerOutcome::Failed => self.failure_rate.record(tuning, 1.0, now),
            // It says nothing of the server's health.
            ServerOutcome::Full => {}
        }
        self.ejection.on_outcome(outcome, now);
    }

    /// Returns the requests that the server is taken to have, of all gateways.
    pub(super) fn load(&self, tuning: &Tuning, now: Now) -> f64 {
        let others = self.observed.map_or(0.0, |observed| {
            let half_life = duration_from_ms(tuning.reported_load_half_life_ms);
            let half_lives = now.saturating_sub(observed.reported_at).as_secs_f64() / half_life.as_secs_f64();
            observed.others_in_flight * (-half_lives).exp2()
        });
        f64::from(self.in_flight) + others.max(self.peer_in_flight(tuning, now))
    }

    /// Returns the requests of peer gateways whose update is recent.
    fn peer_in_flight(&self, tuning: &Tuning, now: Now) -> f64 {
        let ttl = duration_from_ms(tuning.peer_load_ttl_ms);
        let recent = self.peer_loads.values().filter(|peer| is_fresh(peer.reported_at, ttl, now));
        recent.map(|peer| f64::from(peer.in_flight)).sum()
    }

    /// Returns the load as a share of the slots; more than 1 where requests wait.
    pub(super) fn occupancy(&self, tuning: &Tuning, now: Now) -> f64 {
        self.load(tuning, now) / f64::from(self.server.slots.max(1))
    }

    /// Returns the prompt tokens that the server has probably not prefilled yet.
    pub(super) fn unprefilled_tokens(&self, tuning: &Tuning, now: Now) -> f64 {
        self.prefill.tokens(tuning, now)
    }

    pub(super) fn add_prompt_tokens(&mut self, tuning: &Tuning, tokens: u32, now: Now) {
        self.prefill.add(tuning, tokens, now);
    }

    /// Returns the failure rate that placement goes by: the worse of the measured and the reported one.
    pub(super) fn effective_failure_rate(&self, tuning: &Tuning, now: Now) -> f64 {
        self.failure_rate.decayed(tuning, now).max(self.peer_failure_rate.decayed(tuning, now))
    }
}
