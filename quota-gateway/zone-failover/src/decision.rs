//! The published decision: the state of each zone, and the fraction of its traffic that it sends to each
//! zone.

use marblecroft_control_messages::frame::{is_valid_quantity, Kind};
use marblecroft_control_messages::published::Body;
use marblecroft_control_messages::report::{MAX_NAME_BYTES, MAX_ZONES};
use serde::{Deserialize, Serialize};

/// Tolerance for rounding in the sum of a zone's fractions.
const FRACTION_SUM_TOLERANCE: f64 = 1e-6;

/// The state of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ZoneState {
    /// It serves traffic.
    Serving,
    /// Either the zone or its observers are faulty. It keeps its own traffic, and gets only probes from other
    /// zones.
    Suspect,
    /// It gets no traffic.
    FailedOver,
    /// It gets a rising fraction of its traffic after a failover.
    Returning,
    /// It gets no traffic because an operator took it out of service.
    HeldByOperator,
}

impl ZoneState {
    /// Returns its name in logs and operator commands.
    pub fn name(self) -> &'static str {
        match self {
            ZoneState::Serving => "serving",
            ZoneState::Suspect => "suspect",
            ZoneState::FailedOver => "out",
            ZoneState::Returning => "returning",
            ZoneState::HeldByOperator => "held_out",
        }
    }

    /// Returns whether other zones may send traffic there.
    pub fn accepts_traffic(self) -> bool {
        matches!(self, ZoneState::Serving | ZoneState::Returning)
    }
}

/// One zone in a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneDecision {
    /// Its name.
    pub name: String,
    /// Its state.
    pub state: ZoneState,
    /// Number of failures during recent returns. Each one doubles the time that it stays failed over.
    pub flap_count: u32,
    /// Its capacity in units per second.
    pub capacity: f64,
    /// Units per second that clients request from its gateways.
    pub demand: f64,
    /// Number of its gateways with a current report.
    pub gateways: u32,
    /// Fraction of its demand that goes to each zone, in the order of the zones; the rest up to 1 is rejected.
    pub shares: Vec<f64>,
}

/// The decision on zone failover.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonesDecision {
    /// The zones, in the order of the settings.
    pub zones: Vec<ZoneDecision>,
}

impl ZonesDecision {
    /// Returns the zone with this name.
    pub fn zone(&self, name: &str) -> Option<&ZoneDecision> {
        self.zones.iter().find(|zone| zone.name == name)
    }
}

impl Body for ZonesDecision {
    const KIND: Kind = Kind::Zones;

    fn is_valid(&self) -> bool {
        let zone_count = self.zones.len();
        (1..=MAX_ZONES).contains(&zone_count)
            && self.zones.iter().enumerate().all(|(i, zone)| {
                (1..=MAX_NAME_BYTES).contains(&zone.name.len())
                    && self.zones[..i].iter().all(|other| other.name != zone.name)
                    && is_valid_quantity(zone.capacity)
                    && is_valid_quantity(zone.demand)
                    && zone.shares.len() == zone_count
                    && zone.shares.iter().all(|share| (0.0..=1.0).contains(share))
                    && zone.shares.iter().sum::<f64>() <= 1.0 + FRACTION_SUM_TOLERANCE
            })
    }
}
