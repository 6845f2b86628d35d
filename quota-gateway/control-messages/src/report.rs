//! The report that a gateway sends once per second. Its size depends on the number of zones and of points of
//! the demand function, but not on the number of firms or requests.

use crate::frame::{is_valid_quantity, Kind, Message};
use crate::published::Stamp;
use serde::{Deserialize, Serialize};

/// Maximum number of zones in a report.
pub const MAX_ZONES: usize = 64;
/// Maximum number of points of a [`Demand`].
pub const MAX_POINTS: usize = 64;
/// Maximum number of shards of a shard map.
pub const MAX_SHARDS: usize = 256;
/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Number of attempts at the servers of one zone that ended in the period of the report, by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Served.
    pub served: f64,
    /// Rejected by a server, or timed out in its queue. The server is overloaded, but running.
    pub rejected: f64,
    /// Ended by an error, a reset or a timeout.
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

/// A gateway's observation of one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneObservation {
    /// Name of the zone.
    pub zone: String,
    /// Attempts at the servers of the zone.
    pub attempts: AttemptCounts,
    /// Number of servers that are listed as serving.
    pub servers: f64,
    /// Number of servers that are warm. A server in slow start counts as its current fraction.
    pub warm: f64,
}

/// The demand of a gateway's firms as a function of the fair-share level, sampled at some levels. The value
/// at a level is the sum over the firms of the smaller of two values: the firm's demand, and the level times
/// the firm's weight at this gateway.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Total demand in units per second, which is the function's maximum.
    pub total: f64,
    /// Sum of the weights of firms that have demand.
    pub weight: f64,
    /// Levels in ascending order, each with the value of the function.
    pub points: Vec<(f64, f64)>,
}

/// The report that a gateway sends once per second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the gateway.
    pub gateway: u32,
    /// Random number that the gateway generates when it starts. A different number means that it has lost its
    /// state.
    pub incarnation: u64,
    /// Increases within an incarnation, so that late and duplicate reports can be detected.
    pub sequence: u64,
    /// Zone of the gateway.
    pub zone: String,
    /// Length of the period that the values cover, in milliseconds.
    pub span_ms: u32,
    /// Units per second that clients requested from this gateway, including rejected ones.
    pub requested_units: f64,
    /// The zones that the gateway sends requests to. Each zone occurs once.
    pub zones: Vec<ZoneObservation>,
    /// The demand of the gateway's firms.
    pub demand: Demand,
    /// The newest decisions that the gateway has.
    pub applied_decisions: AppliedDecisions,
}

/// The stamps of the decisions that a gateway has. The default stamp means that it has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AppliedDecisions {
    /// Stamp of the decision on zone failover.
    pub zones: Stamp,
    /// Stamp of the decision on quota shares.
    pub shares: Stamp,
    /// Stamp of the shard map.
    pub shard_map: Stamp,
}

impl Message for Report {
    const KIND: Kind = Kind::Report;

    fn is_valid(&self) -> bool {
        let is_valid_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let is_valid_zone = |z: &ZoneObservation| {
            is_valid_name(&z.zone)
                && z.attempts.counts().into_iter().chain([z.servers, z.warm]).all(is_valid_quantity)
                && z.warm <= z.servers
        };
        let is_ascending = |points: &[(f64, f64)]| {
            points.windows(2).all(|w| w[0].0 < w[1].0 && w[0].1 <= w[1].1 * (1.0 + 1e-9) + 1e-9)
        };
        let points = &self.demand.points;
        (1..=60_000).contains(&self.span_ms)
            && is_valid_name(&self.zone)
            && self.zones.len() <= MAX_ZONES
            && points.len() <= MAX_POINTS
            && is_valid_quantity(self.requested_units)
            && self.zones.iter().all(is_valid_zone)
            && self.zones.iter().enumerate().all(|(i, z)| self.zones[..i].iter().all(|y| y.zone != z.zone))
            && [self.demand.total, self.demand.weight].into_iter().all(is_valid_quantity)
            && points.iter().all(|(at, sum)| is_valid_quantity(*at) && is_valid_quantity(*sum))
            && is_ascending(points)
    }
}
