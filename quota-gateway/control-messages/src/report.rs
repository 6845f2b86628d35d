//! The report that a gateway sends once a second. Its size depends on zones, shards and points, never on firms or requests.

use crate::frame::{is_valid_quantity, Kind, Message};
use crate::published::Stamp;
use serde::{Deserialize, Serialize};

/// Upper bound of the zones in a report.
pub const MAX_ZONES: usize = 64;
/// Upper bound of the points of a [`Demand`].
pub const MAX_POINTS: usize = 64;
/// Upper bound of the shards of a shard map.
pub const MAX_SHARDS: usize = 256;
/// Upper bound of the length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Attempts at one zone's servers that ended in the span, by their result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Served.
    pub served: f64,
    /// Rejected by a server, or timed out in its queue: the server is busy, but alive.
    pub rejected: f64,
    /// Errors, resets and timeouts.
    pub failed: f64,
    /// Connections that could not be established.
    pub connect_failed: f64,
}

impl AttemptCounts {
    /// Returns the sum of all results.
    pub fn total(&self) -> f64 {
        self.served + self.rejected + self.failed + self.connect_failed
    }

    fn counts(&self) -> [f64; 4] {
        [self.served, self.rejected, self.failed, self.connect_failed]
    }
}

/// One zone, as a gateway observes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneObservation {
    /// Name of the zone.
    pub zone: String,
    /// Attempts at its servers.
    pub attempts: AttemptCounts,
    /// Servers that are listed as serving.
    pub servers: f64,
    /// Servers that are warm; one in slow start counts by its current fraction.
    pub warm: f64,
}

/// The demand of a gateway's firms as a function of the fair-share level: the sum over its firms of the smaller of a firm's
/// demand and of the level times its weight here, sampled at some levels.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Total demand in units per second, which is the function's maximum.
    pub total: f64,
    /// Sum of the weights of firms that have demand.
    pub weight: f64,
    /// Levels in rising order, each with the value of the function.
    pub points: Vec<(f64, f64)>,
}

/// What a gateway reports once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the gateway.
    pub gateway: u32,
    /// Random number drawn at its start; another one means that the gateway lost its state.
    pub incarnation: u64,
    /// Rises within an incarnation, so that late and duplicate reports are recognized.
    pub sequence: u64,
    /// Zone of the gateway.
    pub zone: String,
    /// Time that the values cover, in milliseconds.
    pub span_ms: u32,
    /// Units per second that clients requested here, rejected ones included.
    pub requested_units: f64,
    /// The zones that it sends to, each once.
    pub zones: Vec<ZoneObservation>,
    /// The demand of its firms.
    pub demand: Demand,
    /// The newest decisions that it has.
    pub applied_decisions: AppliedDecisions,
}

/// The stamps of the decisions that a gateway has; a default stamp stands for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AppliedDecisions {
    /// On zone failover.
    pub zones: Stamp,
    /// On quota shares.
    pub shares: Stamp,
    /// The shard map.
    pub shard_map: Stamp,
}

impl Message for Report {
    const KIND: Kind = Kind::Report;

    fn is_valid(&self) -> bool {
        let name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let zone = |z: &ZoneObservation| {
            name(&z.zone)
                && z.attempts.counts().into_iter().chain([z.servers, z.warm]).all(is_valid_quantity)
                && z.warm <= z.servers
        };
        let rising = |points: &[(f64, f64)]| {
            points.windows(2).all(|w| w[0].0 < w[1].0 && w[0].1 <= w[1].1 * (1.0 + 1e-9) + 1e-9)
        };
        let points = &self.demand.points;
        (1..=60_000).contains(&self.span_ms)
            && name(&self.zone)
            && self.zones.len() <= MAX_ZONES
            && points.len() <= MAX_POINTS
            && is_valid_quantity(self.requested_units)
            && self.zones.iter().all(zone)
            && self.zones.iter().enumerate().all(|(i, z)| self.zones[..i].iter().all(|y| y.zone != z.zone))
            && [self.demand.total, self.demand.weight].into_iter().all(is_valid_quantity)
            && points.iter().all(|(at, sum)| is_valid_quantity(*at) && is_valid_quantity(*sum))
            && rising(points)
    }
}
