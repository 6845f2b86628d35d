//! Server selection: chooses the server with the lowest cost among the servers of the service that
//! have not been tried for the request.
//!
//! The cost is a sum of terms in one unit, shares of a server's slots ([`EndpointCost`]). All
//! servers are compared instead of two random ones (Mitzenmacher's power of two choices): a gateway
//! has some hundreds of servers, and most terms differ too much between servers for a sample to
//! contain a good one. The drawback is herding, where gateways with the same information choose the
//! same server at the same moment. The jitter term and the load updates between gateways counter
//! it.

use super::endpoint::Endpoint;
use super::zone_load::ClusterLoad;
use crate::hash::{fnv1a, splitmix64, unit_interval};
use crate::tuning::Tuning;
use crate::Timestamp;

/// Cost of an ejected server. It exceeds all other terms together, so that an ejected server is
/// chosen only if all are ejected.
const EJECTION_COST: f64 = 100.0;

/// A request for which a server is chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service whose servers are compared.
    pub service: &'a str,
    /// Key of the prompt's shared prefix, if it has one.
    pub prefix_key: Option<u64>,
    /// Ids of servers that have already been tried; they are not chosen again.
    pub attempted: &'a [String],
    /// Maximum occupancy of the server (load as a share of its slots). If this is finite, ejected
    /// servers are never chosen, even if no other server is left.
    pub max_occupancy: f64,
}

/// Terms of a server's cost, each as a share of its slots.
struct EndpointCost {
    /// Estimated occupancy; for a server in another zone at least the mean of that zone.
    occupancy: f64,
    /// Penalty for the failure rate.
    failures: f64,
    /// Penalty for crossing zones.
    other_zone: f64,
    /// Penalty if the server probably has not cached the prompt's prefix.
    prefix_cache_miss: f64,
    /// Penalty for an ejected server.
    ejection: f64,
    /// Penalty for prompts that are still to be prefilled, during which decoding stalls.
    prefill: f64,
    /// Random term that breaks ties and keeps gateways from all choosing the same server.
    jitter: f64,
}

impl EndpointCost {
    /// The order of the summands must not change: floating-point addition is not associative, so
    /// another order could change which server is chosen.
    fn total(&self) -> f64 {
        self.occupancy
            + self.failures
            + self.other_zone
            + self.prefix_cache_miss
            + self.ejection
            + self.prefill
            + self.jitter
    }
}

/// Compares servers for one choice.
pub(super) struct ServerSelector<'a> {
    pub(super) tuning: &'a Tuning,
    pub(super) local_zone: &'a str,
    pub(super) cluster_load: &'a ClusterLoad,
    /// Ids of the preferred servers for the prompt's prefix; empty if there is no prefix.
    pub(super) affine_servers: Vec<String>,
    /// Random number that seeds the jitter of this choice.
    pub(super) jitter_seed: u64,
    pub(super) now: Timestamp,
}

impl ServerSelector<'_> {
    /// Returns the endpoint with the lowest cost, among those that have not been tried and do not
    /// exceed the request's maximum occupancy.
    pub(super) fn choose<'e>(
        &self,
        endpoints: impl Iterator<Item = &'e Endpoint>,
        request: &PlacementRequest<'_>,
    ) -> Option<&'e Endpoint> {
        let best = endpoints
            .filter(|endpoint| !request.attempted.contains(&endpoint.server.id))
            .filter(|endpoint| endpoint.occupancy(self.tuning, self.now) <= request.max_occupancy)
            .min_by(|a, b| self.cost(a).total_cmp(&self.cost(b)))?;
        let is_excluded = best.ejection.is_ejected(self.now) && request.max_occupancy.is_finite();
        (!is_excluded).then_some(best)
    }

    fn cost(&self, endpoint: &Endpoint) -> f64 {
        let (tuning, now, server) = (self.tuning, self.now, &endpoint.server);
        let is_local = server.zone == self.local_zone;
        let occupancy = endpoint.occupancy(tuning, now);
        let is_affine = self.affine_servers.is_empty() || self.affine_servers.contains(&server.id);
        let random = unit_interval(splitmix64(self.jitter_seed ^ fnv1a(server.id.as_bytes())));
        let cost = EndpointCost {
            occupancy: if is_local {
                occupancy
            } else {
                occupancy.max(self.cluster_load.zone_occupancy(tuning, &server.zone, now))
            },
            failures: endpoint.effective_failure_rate(tuning, now) * tuning.failure_penalty,
            other_zone: if is_local { 0.0 } else { tuning.other_zone_load },
            prefix_cache_miss: if is_affine { 0.0 } else { tuning.prefix_cache_miss_penalty },
            ejection: if endpoint.ejection.is_ejected(now) { EJECTION_COST } else { 0.0 },
            prefill: endpoint.unprefilled_tokens(tuning, now) / tuning.prefill_scale_tokens,
            jitter: random * tuning.jitter,
        };
        cost.total()
    }
}
