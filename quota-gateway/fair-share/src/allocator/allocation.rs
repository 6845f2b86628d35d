//! Computes one decision: the level, and the grants of the reachable gateways.

use crate::decision::{ShareDecision, MIN_WEIGHT, UNLIMITED_LEVEL};
use crate::demand_curve::{first_points, interpolate, points_around};
use marblecroft_control_messages::report::Demand;

/// While grants move between gateways, the sum of all grants that may still be applied can exceed the
/// capacity by this fraction.
pub const SLACK: f64 = 0.05;
/// Fraction of the unused capacity that is granted by weight, so that demand can grow before the next
/// decision.
const GRANTED_SPARE_FRACTION: f64 = 0.9;
/// Iterations of the bisection that finds the level; they narrow the interval to one part in 10^15.
const BISECTIONS: u32 = 50;
/// Relative reduction of a grant before it is rounded to `f32`, so that rounding never raises it.
const ROUNDING_MARGIN: f64 = 1e-6;

/// Input of an allocation for one gateway.
pub(super) struct Claim<'a> {
    pub(super) gateway: u32,
    pub(super) demand: &'a Demand,
    /// Maximum units per second that the gateway may be sending under earlier grants.
    pub(super) reserved: f64,
    pub(super) is_reachable: bool,
}

/// How the target of a reachable gateway is computed.
enum TargetRule {
    /// Capacity is not short: the gateway's demand, plus its share by weight of the spare units.
    WithSpare { spare_units: f64, weight: f64 },
    /// Capacity is short: the gateway's demand at the level.
    AtLevel(f64),
    /// Capacity is short, but the level is above all sampled points: in proportion to total demand.
    ProRata { capacity: f64, total_demand: f64 },
}

impl TargetRule {
    /// Returns the units per second that a gateway should send.
    fn target(&self, demand: &Demand) -> f64 {
        match *self {
            TargetRule::WithSpare { spare_units, weight } => {
                demand.total + spare_units * demand.weight / weight.max(MIN_WEIGHT)
            }
            TargetRule::AtLevel(level) => interpolate(demand, level),
            TargetRule::ProRata { capacity, total_demand } => demand.total * capacity / total_demand,
        }
    }
}

/// Allocates the capacity; `weight` is the sum of the weights of all gateways.
///
/// Unreachable gateways keep what is reserved for them, and the reachable ones share the rest.
pub(super) fn allocate(claims: &[Claim<'_>], capacity: f64, weight: f64) -> ShareDecision {
    let unreachable = claims.iter().filter(|claim| !claim.is_reachable);
    let available = (capacity - unreachable.map(|claim| claim.reserved).sum::<f64>()).max(0.0);
    let (level, rule) = level_and_rule(claims, available);
    let grants = grants(claims, capacity, &rule);
    ShareDecision { level, capacity, weight, points: points_to_sample(level, capacity, weight), grants }
}

fn sum_reachable(claims: &[Claim<'_>], value: impl Fn(&Demand) -> f64) -> f64 {
    claims.iter().filter(|claim| claim.is_reachable).map(|claim| value(claim.demand)).sum()
}

fn level_and_rule(claims: &[Claim<'_>], capacity: f64) -> (f64, TargetRule) {
    let total_demand = sum_reachable(claims, |demand| demand.total);
    if total_demand <= capacity {
        let spare_units = GRANTED_SPARE_FRACTION * (capacity - total_demand);
        let weight = sum_reachable(claims, |demand| demand.weight);
        return (UNLIMITED_LEVEL, TargetRule::WithSpare { spare_units, weight });
    }
    match find_level(claims, capacity) {
        Some(level) if level < UNLIMITED_LEVEL => (level, TargetRule::AtLevel(level)),
        level => (level.unwrap_or(UNLIMITED_LEVEL), TargetRule::ProRata { capacity, total_demand }),
    }
}

/// Returns the level at which the sampled demand of the reachable gateways is `units` per second, or `None`
/// if the demand does not exceed `units` at any sampled point. Bisection finds it, since demand rises with
/// the level.
fn find_level(claims: &[Claim<'_>], units: f64) -> Option<f64> {
    let demand_at = |level: f64| sum_reachable(claims, |demand| interpolate(demand, level));
    let last_points = claims.iter().filter_map(|claim| claim.demand.points.last());
    let (mut low, mut high) = (0.0, last_points.map(|(level, _)| *level).fold(0.0, f64::max));
    if high <= 0.0 || demand_at(high) <= units {
        return None;
    }
    for _ in 0..BISECTIONS {
        let middle = 0.5 * (low + high);
        if demand_at(middle) > units {
            high = middle;
        } else {
            low = middle;
        }
    }
    Some(low)
}

/// Returns the grants of the reachable gateways.
///
/// A reduced grant frees capacity only once its gateway reports that it has applied it. Until then the grants
/// that rise share the capacity that is not reserved, in proportion to their increases.
fn grants(claims: &[Claim<'_>], capacity: f64, rule: &TargetRule) -> Vec<(u32, f32)> {
    let reserved: f64 = claims.iter().map(|claim| claim.reserved).sum();
    let free = (capacity * (1.0 + SLACK) - reserved).max(0.0);
    let reachable = claims.iter().filter(|claim| claim.is_reachable);
    let targets: Vec<_> = reachable.map(|claim| (claim, rule.target(claim.demand))).collect();
    let rises: f64 = targets.iter().map(|(claim, target)| (target - claim.reserved).max(0.0)).sum();
    let granted_fraction = if rises > 0.0 { (free / rises).min(1.0) } else { 0.0 };
    let grant = |(claim, target): (&Claim<'_>, f64)| {
        let reserved = claim.reserved;
        let units =
            if target > reserved { reserved + (target - reserved) * granted_fraction } else { target };
        (claim.gateway, ((units * (1.0 - ROUNDING_MARGIN)) as f32).max(0.0))
    };
    targets.into_iter().map(grant).collect()
}

/// Returns the levels that gateways sample next. While no firm is limited, these are around the level at
/// which the capacity would be used up if all firms were limited, in case capacity becomes short.
fn points_to_sample(level: f64, capacity: f64, weight: f64) -> Vec<f64> {
    if level < UNLIMITED_LEVEL {
        points_around(level)
    } else if weight > 0.0 && capacity > 0.0 {
        points_around(capacity / weight)
    } else {
        first_points()
    }
}
