//! What a gateway has seen, summed up: its size depends on zones, pools and points, never on firms or requests.

use crate::frame::{sane, Kind, Message};
use crate::published::Stamp;
use serde::{Deserialize, Serialize};

/// Bounds of a report.
pub const MAX_ZONES: usize = 64;
pub const MAX_POINTS: usize = 64;
pub const MAX_SHARDS: usize = 256;
pub const MAX_NAME_BYTES: usize = 64;

/// Attempts at one zone's servers that ended in the span, by how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub served: f64,
    /// Turned away by a server, or too late: it is busy, not gone.
    pub busy: f64,
    /// Errors, resets, silence.
    pub failed: f64,
    /// Connections that did not come up.
    pub unconnected: f64,
}

impl Seen {
    pub fn all(&self) -> f64 {
        self.served + self.busy + self.failed + self.unconnected
    }

    fn figures(&self) -> [f64; 4] {
        [self.served, self.busy, self.failed, self.unconnected]
    }
}

/// One zone, as a gateway sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneSeen {
    pub zone: String,
    pub seen: Seen,
    /// Servers listed as serving, and what of them is warm: a server that ramps up counts by its share.
    pub servers: f64,
    pub warm: f64,
}

/// What a gateway's firms ask, as a function of the level: the sum over its firms of the smaller of what each asks and of the
/// level times its weight here, at these points.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// All that is asked, in units a second: the function's end.
    pub all: f64,
    /// The sum of weights of firms that ask.
    pub weight: f64,
    /// Levels, rising, and the function there.
    pub points: Vec<(f64, f64)>,
}

/// Everything one gateway tells, once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub gateway: u32,
    /// Drawn at its start; another one means that it kept nothing.
    pub incarnation: u64,
    /// Rises within a life: what comes late or twice is told by it.
    pub number: u64,
    pub zone: String,
    /// What these figures cover.
    pub span_ms: u32,
    /// Units a second that clients ask for here, refused ones with them.
    pub requested_units: f64,
    pub zones: Vec<ZoneSeen>,
    pub shares: Demand,
    /// The newest decisions that it goes by.
    pub goes_by: AppliedDecisions,
}

/// The decisions that a gateway holds; the default: none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AppliedDecisions {
    pub zones: Stamp,
    pub shares: Stamp,
    pub shard_map: Stamp,
}

impl Message for Report {
    const KIND: Kind = Kind::Report;

    fn sensible(&self) -> bool {
        let name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let zone = |z: &ZoneSeen| {
            name(&z.zone)
                && z.seen.figures().into_iter().chain([z.servers, z.warm]).all(sane)
                && z.warm <= z.servers
        };
        let rising = |points: &[(f64, f64)]| {
            points.windows(2).all(|w| w[0].0 < w[1].0 && w[0].1 <= w[1].1 * (1.0 + 1e-9) + 1e-9)
        };
        let points = &self.shares.points;
        (1..=60_000).contains(&self.span_ms)
            && name(&self.zone)
            && self.zones.len() <= MAX_ZONES
            && points.len() <= MAX_POINTS
            && sane(self.requested_units)
            && self.zones.iter().all(zone)
            && self.zones.iter().enumerate().all(|(i, z)| self.zones[..i].iter().all(|y| y.zone != z.zone))
            && [self.shares.all, self.shares.weight].into_iter().all(sane)
            && points.iter().all(|(at, sum)| sane(*at) && sane(*sum))
            && rising(points)
    }
}
