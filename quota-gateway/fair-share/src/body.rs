//! What is published: the level, where to look more closely next, and what each gateway may send on in all.

use marblecroft_control_messages::frame::{is_valid_quantity, Kind};
use marblecroft_control_messages::published::Body;
use marblecroft_control_messages::report::MAX_POINTS;
use serde::{Deserialize, Serialize};

/// A level that binds nobody.
pub const UNBOUND: f64 = 1e12;
/// The most gateways that a decision names.
pub const MAX_GATEWAYS: usize = 4096;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShareDecision {
    /// Units a second for each weight; [`UNBOUND`] where capacity is not short.
    pub level: f64,
    /// Units a second that all gateways together may send on.
    pub capacity: f64,
    /// The sum of weights that this was decided for.
    pub weight: f64,
    /// Levels at which the next reports tell their sums, rising.
    pub points: Vec<f64>,
    /// By gateway, in their order: units a second that it may send on in all.
    pub grants: Vec<(u32, f32)>,
}

impl ShareDecision {
    pub fn grant(&self, gateway: u32) -> Option<f64> {
        let at = self.grants.binary_search_by_key(&gateway, |(gateway, _)| *gateway).ok()?;
        Some(f64::from(self.grants[at].1))
    }
}

impl Body for ShareDecision {
    const KIND: Kind = Kind::Shares;

    fn is_valid(&self) -> bool {
        [self.level, self.capacity, self.weight].into_iter().all(is_valid_quantity)
            && self.points.len() <= MAX_POINTS
            && self.points.iter().copied().all(is_valid_quantity)
            && self.points.windows(2).all(|w| w[0] < w[1])
            && self.grants.len() <= MAX_GATEWAYS
            && self.grants.windows(2).all(|w| w[0].0 < w[1].0)
            && self.grants.iter().all(|(_, units)| is_valid_quantity(f64::from(*units)))
    }
}
