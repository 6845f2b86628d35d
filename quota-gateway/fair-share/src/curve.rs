//! Sums of firms as a function of the level: what all of them take if each takes the smaller of what it asks and of the level times
//! its weight. Rising, concave, from 0 to all that is asked.

use marblecroft_control_messages::report::Demand;

/// A firm at one gateway: what it asks for here, and its weight times the part of its traffic that comes through here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalFirm {
    pub demand: f64,
    pub weight: f64,
}

/// The function itself, at one level.
pub fn sum(firms: &[LocalFirm], level: f64) -> f64 {
    firms.iter().map(|firm| firm.demand.min(level * firm.weight)).sum()
}

/// The level at which firms take so much, exactly; none where they ask for less.
pub fn level_for(firms: &[LocalFirm], units: f64) -> Option<f64> {
    // By the level at which each has all that it asks for: below it its weight counts, above it what it asks.
    let mut full: Vec<(f64, LocalFirm)> = firms
        .iter()
        .filter(|f| f.weight > 0.0 && f.demand > 0.0)
        .map(|f| (f.demand / f.weight, *f))
        .collect();
    full.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut weight: f64 = full.iter().map(|(_, firm)| firm.weight).sum();
    let mut taken = 0.0;
    for (at, firm) in &full {
        if taken + at * weight >= units {
            return Some((units - taken).max(0.0) / weight);
        }
        taken += firm.demand;
        weight -= firm.weight;
    }
    None
}

/// What a gateway tells of its firms, at these levels.
pub fn sample(firms: &[LocalFirm], points: &[f64]) -> Demand {
    Demand {
        total: firms.iter().map(|firm| firm.demand).sum(),
        weight: firms.iter().filter(|firm| firm.demand > 0.0).map(|firm| firm.weight).sum(),
        points: points.iter().map(|&at| (at, sum(firms, at))).collect(),
    }
}

/// The function as far as it was told: straight from point to point, which a concave function never lies below; and flat behind
/// the last, as nothing tells where the rest is asked.
pub fn read(asked: &Demand, level: f64) -> f64 {
    let mut before = (0.0, 0.0);
    for &(at, sum) in &asked.points {
        if level <= at {
            let part = if at > before.0 { (level - before.0) / (at - before.0) } else { 1.0 };
            return before.1 + part * (sum - before.1);
        }
        before = (at, sum);
    }
    before.1
}

/// A first grid, when no level is known: sixteen points over seven decades.
pub fn first_points() -> Vec<f64> {
    (0..16).map(|i| 10f64.powf(-2.0 + f64::from(i) * 7.0 / 15.0)).collect()
}

/// The grid around a level: closer together near it, with anchors far off for a demand that jumps.
pub fn points_around(level: f64) -> Vec<f64> {
    const STEPS: [f64; 17] = [
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
    STEPS.iter().map(|step| (level * step).clamp(1e-9, 1e11)).collect()
}
