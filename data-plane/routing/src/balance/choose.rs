//! The choice of a server: the one with the least cost, of all servers of the service that the request has not tried.
//!
//! The cost is a sum of terms in one unit, shares of a server's slots ([`EndpointCost`]). All servers are compared, not two
//! random ones (Mitzenmacher's power of two choices): a gateway sees some hundreds of servers, and most terms differ too much
//! between servers for a sample to find a good one. The price is herding: gateways with equal knowledge would choose the same
//! server at the same moment. The jitter term and the updates between gateways counter it.

use super::endpoint::Endpoint;
use super::zone_load::ClusterLoad;
use crate::hash::{fnv1a, splitmix64, unit_interval};
use crate::tuning::Tuning;
use crate::Now;

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

/// What the servers are compared by in one choice.
pub(super) struct Comparison<'a> {
    pub(super) tuning: &'a Tuning,
    pub(super) local_zone: &'a str,
    pub(super) cluster_load: &'a ClusterLoad,
    /// The servers that prefer the prompt's prefix; empty where there is no prefix.
    pub(super) affine_servers: Vec<String>,
    /// The random number of this choice.
    pub(super) turn: u64,
    pub(super) now: Now,
}

impl Comparison<'_> {
    /// Returns the least costly endpoint for a request, of those that it has not tried and that are below its limit.
    pub(super) fn choose<'e>(
        &self,
        endpoints: impl Iterator<Item = &'e Endpoint>,
        request: &PlacementRequest<'_>,
    ) -> Option<&'e Endpoint> {
        let best = endpoints
            .filter(|endpoint| !request.attempted.contains(&endpoint.server.id))
            .filter(|endpoint| endpoint.occupancy(self.tuning, self.now) <= request.max_load)
            .min_by(|a, b| self.cost(a).total_cmp(&self.cost(b)))?;
        let is_excluded = best.ejection.is_ejected(self.now) && request.max_load.is_finite();
        (!is_excluded).then_some(best)
    }

    fn cost(&self, endpoint: &Endpoint) -> f64 {
        let (tuning, now, server) = (self.tuning, self.now, &endpoint.server);
        let is_local = server.zone == self.local_zone;
        let occupancy = endpoint.occupancy(tuning, now);
        let is_affine = self.affine_servers.is_empty() || self.affine_servers.contains(&server.id);
        let random = unit_interval(splitmix64(self.turn ^ fnv1a(server.id.as_bytes())));
        let cost = EndpointCost {
            occupancy: if is_local {
                occupancy
            } else {
                occupancy.max(self.cluster_load.zone_occupancy(tuning, &server.zone, now))
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
