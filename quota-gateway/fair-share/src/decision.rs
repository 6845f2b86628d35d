//! The published decision: the level, the levels to sample next, and the grant of each gateway.

use marblecroft_control_messages::frame::{is_valid_quantity, Kind};
use marblecroft_control_messages::published::Body;
use marblecroft_control_messages::report::MAX_POINTS;
use serde::{Deserialize, Serialize};

/// The level that is published while capacity is not short; it limits no firm.
pub const UNLIMITED_LEVEL: f64 = 1e12;
/// Maximum number of gateways in a decision.
pub const MAX_GATEWAYS: usize = 4096;
/// Lower bound of a sum of weights that is used as a divisor.
pub(crate) const MIN_WEIGHT: f64 = 1e-9;

/// The decision on quota shares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShareDecision {
    /// Units per second per unit of weight; [`UNLIMITED_LEVEL`] while capacity is not short.
    pub level: f64,
    /// Units per second that all gateways together may send.
    pub capacity: f64,
    /// Sum of the weights of all firms that had demand.
    pub weight: f64,
    /// Levels at which the next reports sample demand, in ascending order.
    pub points: Vec<f64>,
    /// Grants by gateway, in ascending order: the units per second that the gateway may send in total.
    pub grants: Vec<(u32, f32)>,
}

impl ShareDecision {
    /// Returns the grant of a gateway in units per second, or `None` if the decision has no grant for it.
    pub fn grant(&self, gateway: u32) -> Option<f64> {
        let index = self.grants.binary_search_by_key(&gateway, |(gateway, _)| *gateway).ok()?;
        Some(f64::from(self.grants[index].1))
    }
}

impl Body for ShareDecision {
    const KIND: Kind = Kind::Shares;

    fn is_valid(&self) -> bool {
        [self.level, self.capacity, self.weight].into_iter().all(is_valid_quantity)
            && self.points.len() <= MAX_POINTS
            && self.points.iter().copied().all(is_valid_quantity)
            && self.points.windows(2).all(|pair| pair[0] < pair[1])
            && self.grants.len() <= MAX_GATEWAYS
            && self.grants.windows(2).all(|pair| pair[0].0 < pair[1].0)
            && self.grants.iter().all(|(_, units)| is_valid_quantity(f64::from(*units)))
    }
}
