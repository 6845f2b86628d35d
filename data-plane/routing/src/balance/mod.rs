//! Load balancing: the table of model servers, and which of them a request goes to.
//!
//! A request passes here in this order: [`LoadBalancer::choose`] compares the servers; [`LoadBalancer::on_sent`] counts the
//! request at the one that was chosen, before anything is written, so that the next choice sees it;
//! [`LoadBalancer::on_reported_load`] and [`LoadBalancer::on_outcome`] take in what the response tells of the server; and
//! [`LoadBalancer::on_finished`] ends the count, however the attempt ended. Callers pair `on_sent` and `on_finished` by a
//! guard.
//!
//! | module | mechanism |
//! |---|---|
//! | `endpoint` | one server, and the estimate of its load |
//! | `outlier` | failure rate and ejection |
//! | `affinity` | rendezvous hashing of prompt prefixes |
//! | `choose` | the cost of a server, and the choice |
//! | `load_exchange` | load updates between the gateways of a zone |
//! | `zone_load` | load of other zones, by way of the stores |

mod affinity;
mod choose;
mod endpoint;
mod load_exchange;
mod outlier;
mod zone_load;

pub use choose::PlacementRequest;
pub use endpoint::ReportedLoad;
pub use outlier::ServerOutcome;

use crate::hash::fnv1a;
use crate::tuning::Tuning;
use crate::Now;
use endpoint::Endpoint;
use load_exchange::UnreportedTokens;
use marblecroft_protocol::servers::ServerList;
use std::collections::HashMap;
use std::time::Duration;
use zone_load::{ClusterLoad, ZoneAverages};

/// Whether a report of `reported_at` is younger than `ttl`.
fn is_fresh(reported_at: Now, ttl: Duration, now: Now) -> bool {
    now.saturating_sub(reported_at) < ttl
}

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
