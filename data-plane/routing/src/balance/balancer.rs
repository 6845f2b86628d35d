//! The table of servers, and the interaction of the mechanisms in the other modules.

use super::affinity::affine_servers;
use super::choose::{PlacementRequest, ServerSelector};
use super::endpoint::{Endpoint, ReportedLoad};
use super::load_exchange::UnreportedTokens;
use super::outlier::ServerOutcome;
use super::zone_load::{ClusterLoad, ZoneAverages};
use crate::hash::{fnv1a, splitmix64};
use crate::tuning::Tuning;
use crate::Timestamp;
use marblecroft_protocol::load::{ServerLoad, ZoneLoad};
use marblecroft_protocol::servers::{Server, ServerList};
use std::collections::HashMap;

/// The servers of all services, from the point of view of one gateway.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    /// Endpoints by server id: the listed servers, and those that left the list while requests of
    /// this gateway were in flight.
    endpoints: HashMap<String, Endpoint>,
    /// Ids of the endpoints by their hash, as of the latest list.
    ids_by_hash: HashMap<u64, String>,
    unreported_tokens: UnreportedTokens,
    /// Number of requests sent plus number of requests finished.
    change_count: u64,
    zone_averages: ZoneAverages,
    cluster_load: ClusterLoad,
    local_zone: String,
    tuning: Tuning,
    /// State of the random number generator for jitter; advanced once per choice.
    jitter_state: u64,
}

impl LoadBalancer {
    /// Returns a balancer without servers for a gateway in `zone`. Gateways should use different
    /// seeds, so that they draw different jitter.
    pub fn new(zone: &str, seed: u64, tuning: Tuning) -> LoadBalancer {
        LoadBalancer { local_zone: zone.to_owned(), tuning, jitter_state: seed, ..LoadBalancer::default() }
    }

    /// Applies a new list of servers. The state of servers that stay is kept. Servers that left the
    /// list are kept until their requests have finished.
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
        // Uses the ids of the previous list, so that the tokens of a server that has just left are
        // still reported once.
        self.unreported_tokens.retain_servers(&self.ids_by_hash);
        self.ids_by_hash = self.endpoints.keys().map(|id| (fnv1a(id.as_bytes()), id.clone())).collect();
    }

    /// Returns whether requests may be sent to this incarnation of a server.
    pub fn is_available(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(Endpoint::is_available)
    }

    /// Returns the available servers of a service, in no particular order.
    fn endpoints_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |endpoint| endpoint.is_available() && endpoint.server.backend == service)
    }

    /// Returns the server with the lowest cost for a request, or `None` if the service has no
    /// available server that has not been tried and whose occupancy is at most `max_occupancy`.
    pub fn choose(&mut self, request: &PlacementRequest<'_>, now: Timestamp) -> Option<Server> {
        self.jitter_state = splitmix64(self.jitter_state);
        let selector = ServerSelector {
            tuning: &self.tuning,
            local_zone: &self.local_zone,
            cluster_load: &self.cluster_load,
            affine_servers: request
                .prefix_key
                .map(|key| self.affine_servers_of(request.service, key))
                .unwrap_or_default(),
            jitter_seed: self.jitter_state,
            now,
        };
        let best = selector.choose(self.endpoints_of(request.service), request)?;
        Some(best.server.clone())
    }

    /// Returns the ids of the servers in the local zone that are preferred for a prefix.
    fn affine_servers_of(&self, service: &str, key: u64) -> Vec<String> {
        let local = self.endpoints_of(service).filter(|endpoint| endpoint.server.zone == self.local_zone);
        affine_servers(local, key, self.tuning.affine_servers as usize)
    }

    /// Counts a request with a prompt of `prompt_tokens` as in flight at a server. Unknown servers
    /// are ignored.
    pub fn on_sent(&mut self, id: &str, prompt_tokens: u32, now: Timestamp) {
        self.change_count += 1;
        self.advance_zone_averages(now);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight += 1;
            self.unreported_tokens.add(id, prompt_tokens);
            endpoint.add_prompt_tokens(&self.tuning, prompt_tokens, now);
        }
    }

    /// Removes a request from the in-flight count of a server.
    pub fn on_finished(&mut self, id: &str, now: Timestamp) {
        self.change_count += 1;
        self.advance_zone_averages(now);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Records how an attempt at a server ended.
    pub fn on_outcome(&mut self, id: &str, outcome: ServerOutcome, now: Timestamp) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.on_outcome(&self.tuning, outcome, now);
        }
    }

    /// Records the load that a server reported.
    pub fn on_reported_load(&mut self, id: &str, load: ReportedLoad, now: Timestamp) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.on_reported_load(load, now);
        }
    }

    /// Advances the averages of this gateway's requests by zone. Must be called before an in-flight
    /// count changes.
    fn advance_zone_averages(&mut self, now: Timestamp) {
        self.zone_averages.advance(self.endpoints.values(), &self.tuning, now);
    }

    /// Returns the moving averages of this gateway's requests in flight, by zone.
    pub fn zone_averages(&mut self, now: Timestamp) -> Vec<ZoneLoad> {
        self.advance_zone_averages(now);
        self.zone_averages.report()
    }

    /// Handles a report of the load of all gateways: requests in flight by zone, and the number
    /// `live` of live requests at all servers. It replaces the previous report.
    pub fn on_cluster_load(&mut self, zones: &[ZoneLoad], live: f32, now: Timestamp) {
        self.cluster_load = ClusterLoad::new(zones, live, self.endpoints.values(), now);
    }

    /// Returns how often a request has been sent or finished. An update to the peers is due when
    /// this has changed.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the load update for peer gateways: requests in flight and failure rate of each
    /// server, and the prompt tokens sent to it since the last call.
    pub fn take_load_update(&mut self, now: Timestamp) -> Vec<ServerLoad> {
        self.unreported_tokens.take_update(self.endpoints.values(), &self.tuning, now)
    }

    /// Handles a load update from the gateway whose name hashes to `peer`. It replaces that
    /// gateway's previous update.
    pub fn on_peer_load(&mut self, peer: u64, loads: &[ServerLoad], now: Timestamp) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.remove_peer(peer);
        }
        for load in loads {
            let id = self.ids_by_hash.get(&load.server_hash);
            // Gateways do not receive server lists at the same time, so the update may contain
            // servers that are unknown here. They are skipped.
            if let Some(endpoint) = id.and_then(|id| self.endpoints.get_mut(id)) {
                endpoint.on_peer_load(&self.tuning, peer, load, now);
            }
        }
    }

    /// Returns the load of a service's servers as a share of their slots, or `None` if the service
    /// has no available server.
    ///
    /// If no server reports its load, it is estimated from the live requests of all gateways,
    /// distributed over all services by slots. This estimate excludes batch items, because they
    /// yield to live requests anyway.
    pub fn occupancy(&self, service: &str, now: Timestamp) -> Option<f64> {
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

    /// Returns the number of slots of all available servers.
    pub fn total_slots(&self) -> u32 {
        let available = self.endpoints.values().filter(|endpoint| endpoint.is_available());
        available.map(|endpoint| endpoint.server.slots).sum()
    }
}
