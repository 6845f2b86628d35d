//! Demand as a function of the level: the sum over firms of min(demand, level * weight). The function is
//! non-decreasing and concave, from 0 to the total demand.

use marblecroft_control_messages::report::Demand;

/// Number of points of [`first_points`].
const FIRST_POINTS: u32 = 16;
/// Decimal logarithm of the lowest of [`first_points`].
const FIRST_POINTS_EXPONENT: f64 = -2.0;
/// Number of decades that [`first_points`] span.
const FIRST_POINTS_DECADES: f64 = 7.0;
/// Lowest level that is sampled.
const MIN_SAMPLED_LEVEL: f64 = 1e-9;
/// Highest level that is sampled.
const MAX_SAMPLED_LEVEL: f64 = 1e11;
/// The points of [`points_around`], as multiples of the level.
const RELATIVE_POINTS: [f64; 17] = [
    1.0 / 256.0,
    1.0 / 32.0,
    1.0 / 8.0,
    0.35,
    0.6,
    0.8,
    0.9,
    0.96,
    1.0,
    1.04,
    1.1,
    1.25,
    1.7,
    3.0,
    8.0,
    32.0,
    256.0,
];

/// A firm at one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalFirm {
    /// Its demand at this gateway, in units per second.
    pub demand: f64,
    /// Its weight times the fraction of its traffic that passes through this gateway.
    pub weight: f64,
}

/// Returns the demand of firms at a level, in units per second.
fn demand_at(firms: &[LocalFirm], level: f64) -> f64 {
    firms.iter().map(|firm| firm.demand.min(level * firm.weight)).sum()
}

/// Returns the exact level at which the demand of firms is `units` per second, or `None` if their total
/// demand is smaller.
pub fn level_for(firms: &[LocalFirm], units: f64) -> Option<f64> {
    // Sort firms by the level at which their demand is met. Below that level a firm contributes by its
    // weight, above it with its demand.
    let mut firms_by_level: Vec<(f64, LocalFirm)> = firms
        .iter()
        .filter(|firm| firm.weight > 0.0 && firm.demand > 0.0)
        .map(|firm| (firm.demand / firm.weight, *firm))
        .collect();
    firms_by_level.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut unmet_weight: f64 = firms_by_level.iter().map(|(_, firm)| firm.weight).sum();
    let mut met_demand = 0.0;
    for (level, firm) in &firms_by_level {
        if met_demand + level * unmet_weight >= units {
            return Some((units - met_demand).max(0.0) / unmet_weight);
        }
        met_demand += firm.demand;
        unmet_weight -= firm.weight;
    }
    None
}

/// Samples the demand of firms at the levels in `points`, for a report.
pub fn sample(firms: &[LocalFirm], points: &[f64]) -> Demand {
    Demand {
        total: firms.iter().map(|firm| firm.demand).sum(),
        weight: firms.iter().filter(|firm| firm.demand > 0.0).map(|firm| firm.weight).sum(),
        points: points.iter().map(|&level| (level, demand_at(firms, level))).collect(),
    }
}

/// Interpolates a sampled demand at a level, in units per second.
///
/// The result is linear between points, which never overestimates a concave function, and constant after the
/// last point, since the samples do not show at which levels the remaining demand is met.
pub fn interpolate(demand: &Demand, level: f64) -> f64 {
    let mut previous = (0.0, 0.0);
    for &(point, units) in &demand.points {
        if level <= point {
            let fraction = if point > previous.0 { (level - previous.0) / (point - previous.0) } else { 1.0 };
            return previous.1 + fraction * (units - previous.1);
        }
        previous = (point, units);
    }
    previous.1
}

/// Returns the levels to sample while no level is known, evenly spaced on a logarithmic scale.
pub fn first_points() -> Vec<f64> {
    let exponent = |index: u32| {
        FIRST_POINTS_EXPONENT + f64::from(index) * FIRST_POINTS_DECADES / f64::from(FIRST_POINTS - 1)
    };
    (0..FIRST_POINTS).map(|index| 10f64.powf(exponent(index))).collect()
}

/// Returns the levels to sample around a level: dense near it, and sparse further away to cover jumps in
/// demand.
pub fn points_around(level: f64) -> Vec<f64> {
    let point = |relative: &f64| (level * relative).clamp(MIN_SAMPLED_LEVEL, MAX_SAMPLED_LEVEL);
    RELATIVE_POINTS.iter().map(point).collect()
}
