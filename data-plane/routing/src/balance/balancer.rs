//! The table of servers, and the order in which the mechanisms of the other modules work together.

use super::affinity::affine_servers;
use super::choose::{Comparison, PlacementRequest};
use super::endpoint::{Endpoint, ReportedLoad};
use super::load_exchange::UnreportedTokens;
use super::outlier::ServerOutcome;
use super::zone_load::{ClusterLoad, ZoneAverages};
use crate::hash::{fnv1a, splitmix64};
use crate::tuning::Tuning;
use crate::Now;
use marblecroft_protocol::load::{ServerLoad, ZoneLoad};
use marblecroft_protocol::servers::{Server, ServerList};
use std::collections::HashMap;

/// The servers of all services, as one gateway sees them.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    /// By server id. Holds the listed servers, and those that left the list with requests of this gateway in flight.
    endpoints: HashMap<String, Endpoint>,
    /// Ids of the endpoints by their hash, as of the latest list.
    ids_by_hash: HashMap<u64, String>,
    unreported_tokens: UnreportedTokens,
    /// Counts requests sent and finished.
    changes: u64,
    zone_averages: ZoneAverages,
    cluster_load: ClusterLoad,
    local_zone: String,
    tuning: Tuning,
    /// The state of the random sequence that jitter is drawn from; one step a choice.
    turn: u64,
}

impl LoadBalancer {
    /// Returns a balancer without servers for a gateway in `zone`. Gateways should differ in `seed`, so that they draw
    /// different jitter.
    pub fn new(zone: &str, seed: u64, tuning: Tuning) -> LoadBalancer {
        LoadBalancer { local_zone: zone.to_owned(), tuning, turn: seed, ..LoadBalancer::default() }
    }

    /// Takes over a new list of servers. What is known of servers that stay is kept; those that left are kept until their
    /// requests are finished.
    pub fn update(&mut self, list: &ServerList) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.listed = false;
        }
        for server in &list.servers {
            let entry = self.endpoints.entry(server.id.clone());
            let endpoint = entry.or_insert_with(|| Endpoint::new(server.clone()));
            endpoint.server = server.clone();
            endpoint.listed = true;
        }
        self.endpoints.retain(|_, endpoint| endpoint.listed || endpoint.in_flight > 0);
        // By the ids of the previous list: tokens of a server that has just left are still reported once.
        self.unreported_tokens.retain_known(&self.ids_by_hash);
        self.ids_by_hash = self.endpoints.keys().map(|id| (fnv1a(id.as_bytes()), id.clone())).collect();
    }

    /// Whether requests may be sent to this incarnation of a server.
    pub fn is_available(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(Endpoint::is_available)
    }

    /// Returns the available servers of a service, in no particular order.
    fn endpoints_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |endpoint| endpoint.is_available() && endpoint.server.backend == service)
    }

    /// Returns the least costly server for a request; `None` where the service has none that is available, below
    /// `max_load` and not tried yet.
    pub fn choose(&mut self, request: &PlacementRequest<'_>, now: Now) -> Option<Server> {
        self.turn = splitmix64(self.turn);
        let comparison = Comparison {
            tuning: &self.tuning,
            local_zone: &self.local_zone,
            cluster_load: &self.cluster_load,
            affine_servers: request
                .prefix_key
                .map(|key| self.affine_servers_of(request.service, key))
                .unwrap_or_default(),
            turn: self.turn,
            now,
        };
        let best = comparison.choose(self.endpoints_of(request.service), request)?;
        Some(best.server.clone())
    }

    /// Returns the ids of the servers of the local zone that prefer a prefix.
    fn affine_servers_of(&self, service: &str, key: u64) -> Vec<String> {
        let local = self.endpoints_of(service).filter(|endpoint| endpoint.server.zone == self.local_zone);
        affine_servers(local, key, self.tuning.affine_servers as usize)
    }

    /// Counts a request with a prompt of `prompt_tokens` at a server. An unknown server is passed over.
    pub fn on_sent(&mut self, id: &str, prompt_tokens: u32, now: Now) {
        self.changes += 1;
        self.advance_zone_averages(now);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight += 1;
            self.unreported_tokens.add(id, prompt_tokens);
            endpoint.add_prompt_tokens(&self.tuning, prompt_tokens, now);
        }
    }

    /// Ends the count of a request at a server.
    pub fn on_finished(&mut self, id: &str, now: Now) {
        self.changes += 1;
        self.advance_zone_averages(now);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Records how an attempt at a server ended.
    pub fn on_outcome(&mut self, id: &str, outcome: ServerOutcome, now: Now) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.on_outcome(&self.tuning, outcome, now);
        }
    }

    /// Records the load that a server reported.
    pub fn on_reported_load(&mut self, id: &str, load: ReportedLoad, now: Now) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.on_reported_load(load, now);
        }
    }

    /// Advances the averages of this gateway's requests by zone; called before any count of them changes.
    fn advance_zone_averages(&mut self, now: Now) {
        self.zone_averages.advance(self.endpoints.values(), &self.tuning, now);
    }

    /// Returns the moving averages of this gateway's requests in flight, by zone.
    pub fn zone_averages(&mut self, now: Now) -> Vec<ZoneLoad> {
        self.advance_zone_averages(now);
        self.zone_averages.report()
    }

    /// Handles a report of the load of all gateways together: requests in flight by zone, and `live` requests at all
    /// servers. It replaces the one before.
    pub fn on_cluster_load(&mut self, zones: &[ZoneLoad], live: f32, now: Now) {
        self.cluster_load = ClusterLoad::new(zones, live, self.endpoints.values(), now);
    }

    /// Returns the number of requests that were sent or finished so far. An update to the peers is due when it has changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns what to report to peer gateways: the requests in flight and the failure rate at each server, and the prompt
    /// tokens sent there since the last call.
    pub fn take_load_update(&mut self, now: Now) -> Vec<ServerLoad> {
        self.unreported_tokens.take_update(self.endpoints.values(), &self.tuning, now)
    }

    /// Handles the update of the gateway whose name hashes to `peer`. It replaces what that gateway reported before.
    pub fn on_peer_load(&mut self, peer: u64, loads: &[ServerLoad], now: Now) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.forget_peer(peer);
        }
        for load in loads {
            let id = self.ids_by_hash.get(&load.server_hash);
            // Lists of servers reach gateways at different times: a server that is not known here is passed over.
            if let Some(endpoint) = id.and_then(|id| self.endpoints.get_mut(id)) {
                endpoint.on_peer_load(&self.tuning, peer, load, now);
            }
        }
    }

    /// Returns the load of a service's servers as a share of their slots; `None` where it has no available server.
    ///
    /// Where no server reports its load, the live requests of all gateways stand in for it, spread over all services by
    /// slots. Items of batch jobs are left out of that: they give way to live requests by themselves.
    pub fn occupancy(&self, service: &str, now: Now) -> Option<f64> {
        let (mut load, mut slots, mut is_reported) = (0.0, 0.0, false);
        for endpoint in self.endpoints_of(service) {
            load += endpoint.load(&self.tuning, now);
            slots += f64::from(endpoint.server.slots.max(1));
            is_reported |= endpoint.reports_load();
        }
        let share = slots / f64::from(self.total_slots().max(1));
        let load =
            if is_reported { load } else { self.cluster_load.live_requests(&self.tuning, now) * share };
        (slots > 0.0).then(|| load / slots)
    }

    /// Returns the slots of all available servers.
    pub fn total_slots(&self) -> u32 {
        let available = self.endpoints.values().filter(|endpoint| endpoint.is_available());
        available.map(|endpoint| endpoint.server.slots).sum()
    }
}
