//! The choice of a server: the one with the least cost, of all servers of the service that the request has not tried.
//!
//! The cost is a sum of terms in one unit, shares of a server's slots ([`EndpointCost`]). All servers are compared, not two
//! random ones (Mitzenmacher's power of two choices): a gateway sees some hundreds of servers, and most terms differ too much
//! between servers for a sample to find a good one. The price is herding: gateways with equal knowledge would choose the same
//! server at the same moment. The jitter term and the updates between gateways counter it.

use super::endpoint::Endpoint;
use super::{affinity, LoadBalancer};
use crate::hash::{fnv1a, splitmix64, unit_interval};
use crate::Now;
use marblecroft_protocol::servers::Server;

/// The cost of an ejected server: more than all other terms together, so that it is chosen only where all are ejected.
const EJECTION_COST: f64 = 100.0;

/// What a server is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service whose servers are compared.
    pub service: &'a str,
    /// The key of the prompt's shared prefix, where it has one.
    pub prefix_key: Option<u64>,
    /// Ids of servers that were tried already; they are not chosen again.
    pub attempted: &'a [String],
    /// The highest occupancy (load as a share of the slots) that the server may have; where this is finite an ejected server
    /// is not chosen either, not even as the last one.
    pub max_load: f64,
}

/// The terms of a server's cost, each as a share of its slots.
struct EndpointCost {
    /// The estimated occupancy; for a server of another zone at least that zone's mean.
    occupancy: f64,
    /// The penalty for its failure rate.
    failures: f64,
    /// The penalty for crossing zones.
    other_zone: f64,
    /// The penalty where the prompt's prefix is probably not in its cache.
    cold_prefix: f64,
    /// The penalty of an ejected server.
    ejection: f64,
    /// The penalty for prompts that it has still to prefill: decoding stalls meanwhile.
    prefill: f64,
    /// A random term, to break ties and to keep gateways from choosing in step.
    jitter: f64,
}

impl EndpointCost {
    /// The order of the summands is part of the choice, since floating-point addition is not associative.
    fn total(&self) -> f64 {
        self.occupancy
            + self.failures
            + self.other_zone
            + self.cold_prefix
            + self.ejection
            + self.prefill
            + self.jitter
    }
}

/// What the servers are compared for in one choice.
struct Comparison<'a> {
    balancer: &'a LoadBalancer,
    /// The servers that prefer the prompt's prefix; empty where there is no prefix.
    affine_servers: Vec<String>,
    turn: u64,
    now: Now,
}

impl Comparison<'_> {
    fn cost(&self, endpoint: &Endpoint) -> f64 {
        let (balancer, tuning, now) = (self.balancer, &self.balancer.tuning, self.now);
        let server = &endpoint.server;
        let is_local = server.zone == balancer.local_zone;
        let occupancy = endpoint.occupancy(tuning, now);
        let is_affine = self.affine_servers.is_empty() || self.affine_servers.contains(&server.id);
        let random = unit_interval(splitmix64(self.turn ^ fnv1a(server.id.as_bytes())));
        let cost = EndpointCost {
            occupancy: if is_local {
                occupancy
            } else {
                occupancy.max(balancer.cluster_load.zone_occupancy(tuning, &server.zone, now))
            },
            failures: endpoint.effective_failure_rate(tuning, now) * tuning.failure_penalty,
            other_zone: if is_local { 0.0 } else { tuning.other_zone_load },
            cold_prefix: if is_affine { 0.0 } else { tuning.cold_prefix_penalty },
            ejection: if endpoint.ejection.is_ejected(now) { EJECTION_COST } else { 0.0 },
            prefill: endpoint.unprefilled_tokens(tuning, now) / tuning.prefill_scale_tokens,
            jitter: random * tuning.jitter,
        };
        cost.total()
    }
}

impl LoadBalancer {
    /// Returns the least costly server for a request; `None` where the service has none that is available, below
    /// `max_load` and not tried yet.
    pub fn choose(&mut self, request: &PlacementRequest<'_>, now: Now) -> Option<Server> {
        self.turn = splitmix64(self.turn);
        let local = self.endpoints_of(request.service).filter(|e| e.server.zone == self.local_zone);
        let count = self.tuning.affine_servers as usize;
        let affine_servers =
            request.prefix_key.map(|key| affinity::affine_servers(local, key, count)).unwrap_or_default();
        let comparison = Comparison { balancer: self, affine_servers, turn: self.turn, now };
        let best = self
            .endpoints_of(request.service)
            .filter(|endpoint| !request.attempted.contains(&endpoint.server.id))
            .filter(|endpoint| endpoint.occupancy(&self.tuning, now) <= request.max_load)
            .min_by(|a, b| comparison.cost(a).total_cmp(&comparison.cost(b)))?;
        if best.ejection.is_ejected(now) && request.max_load.is_finite() {
            return None;
        }
        Some(best.server.clone())
    }
}
