//! Compares two algorithms for max-min sharing on the same firms:
//!
//! - **levels**, which this crate uses: gateways report their demand at sampled levels, and the owner inverts
//!   the sum.
//! - **prices**: each gateway reports one sum, and the owner multiplies the level by a power of the ratio of
//!   the capacity to the total.
//!
//! Measures the rounds until the error stays under 5%, the largest overshoot of the capacity, and the bytes
//! per report.

use marblecroft_control_messages::report::Demand;
use marblecroft_fair_share::demand_curve::{self, interpolate, LocalFirm};
use marblecroft_fair_share_reference::{max_min_shares, Firm};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: usize = 30;
const ROUNDS: usize = 60;
/// Exponents of the ratio of the capacity to the total, for the prices algorithm. Larger ones
/// oscillate, and smaller ones converge more slowly (`docs/fair-share.md`).
const GAINS: [f64; 3] = [0.3, 0.6, 1.0];

struct Case {
    firms: Vec<Firm>,
    /// For each gateway its firms: their index, and their demand and weight at this gateway.
    local_firms: Vec<Vec<(usize, LocalFirm)>>,
    capacity: f64,
    reference_shares: Vec<f64>,
}

fn random_case(rng: &mut ChaCha8Rng, firms: usize) -> Case {
    let firms: Vec<Firm> = (0..firms)
        .map(|i| Firm {
            demand: 10f64.powf(rng.random_range(-0.5..1.5)),
            weight: [1.0, 1.0, 2.0, 4.0][i % 4],
        })
        .collect();
    let mut local_firms = vec![Vec::new(); GATEWAYS];
    for (f, firm) in firms.iter().enumerate() {
        let parts: Vec<f64> = (0..rng.random_range(1..9)).map(|_| rng.random_range(0.1..1.0)).collect();
        let (sum, first): (f64, usize) = (parts.iter().sum(), rng.random_range(0..GATEWAYS));
        for (k, part) in parts.iter().enumerate() {
            let fraction = part / sum;
            local_firms[(first + k) % GATEWAYS]
                .push((f, LocalFirm { demand: firm.demand * fraction, weight: firm.weight * fraction }));
        }
    }
    let capacity = firms.iter().map(|firm| firm.demand).sum::<f64>() * rng.random_range(0.3..0.8);
    Case { reference_shares: max_min_shares(&firms, capacity), firms, local_firms, capacity }
}

impl Case {
    fn firms_at(&self, gateway: usize) -> Vec<LocalFirm> {
        self.local_firms[gateway].iter().map(|(_, local)| *local).collect()
    }

    /// Returns the error and the overshoot if all firms send at a level, both as fractions of the capacity.
    /// The error is the sum of the distances of all firms from their reference shares.
    fn error_and_overshoot(&self, level: f64) -> (f64, f64) {
        let mut rates = vec![0.0; self.firms.len()];
        for (f, local) in self.local_firms.iter().flatten() {
            rates[*f] += local.demand.min(level * local.weight);
        }
        let distance: f64 = self.reference_shares.iter().zip(&rates).map(|(a, b)| (a - b).abs()).sum();
        (distance / self.capacity, rates.iter().sum::<f64>() / self.capacity - 1.0)
    }

    fn level(&self, reported: &[Demand]) -> f64 {
        let sum = |level: f64| reported.iter().map(|demand| interpolate(demand, level)).sum::<f64>();
        let (mut low, mut high) = (0.0, 1e5);
        for _ in 0..60 {
            let middle = 0.5 * (low + high);
            if sum(middle) > self.capacity {
                high = middle;
            } else {
                low = middle;
            }
        }
        low
    }
}

/// Returns the number of rounds until the error stays under 5%, and the largest overshoot.
fn rounds_and_overshoot(case: &Case, levels: &[f64]) -> (usize, f64) {
    let results: Vec<(f64, f64)> = levels.iter().map(|level| case.error_and_overshoot(*level)).collect();
    let last_inaccurate = results.iter().rposition(|(error, _)| *error >= 0.05);
    (
        last_inaccurate.map_or(0, |index| index + 1),
        results.iter().map(|(_, overshoot)| *overshoot).fold(0.0, f64::max),
    )
}

fn median<T: PartialOrd + Copy>(mut values: Vec<T>) -> T {
    values.sort_by(|a, b| a.partial_cmp(b).expect("no NaN"));
    values[values.len() / 2]
}

#[test]
fn levels_converge_in_no_more_rounds_than_prices_and_overshoot_the_capacity_less() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let cases: Vec<(Case, Case)> =
        (0..20).map(|_| (random_case(&mut rng, 300), random_case(&mut rng, 300))).collect();
    // Both algorithms start with the level of the case `before`: all demands and the capacity change at once.
    let run_levels = |(before, now): &(Case, Case)| {
        let find_level = |case: &Case, points: &[f64]| {
            case.level(
                &(0..GATEWAYS).map(|g| demand_curve::sample(&case.firms_at(g), points)).collect::<Vec<_>>(),
            )
        };
        let mut level = find_level(
            before,
            &demand_curve::points_around(find_level(before, &demand_curve::first_points())),
        );
        let mut levels = Vec::new();
        for _ in 0..ROUNDS {
            level = find_level(now, &demand_curve::points_around(level));
            levels.push(level);
        }
        rounds_and_overshoot(now, &levels)
    };
    let run_prices = |(before, now): &(Case, Case), gain: f64| {
        let all: Vec<LocalFirm> = before.local_firms.iter().flatten().map(|(_, local)| *local).collect();
        let mut levels =
            vec![demand_curve::level_for(&all, before.capacity).expect("demand exceeds the capacity")];
        for round in 0..ROUNDS - 1 {
            let sent = now
                .local_firms
                .iter()
                .flatten()
                .map(|(_, local)| local.demand.min(levels[round] * local.weight))
                .sum::<f64>();
            levels.push(levels[round] * (now.capacity / sent).powf(gain));
        }
        rounds_and_overshoot(now, &levels)
    };
    let levels: Vec<_> = cases.iter().map(run_levels).collect();
    let reported = demand_curve::sample(&cases[0].0.firms_at(0), &demand_curve::points_around(3.0));
    let bytes = |demand: &Demand| postcard::to_stdvec(demand).map_or(0, |bytes| bytes.len());
    println!(
        "levels: median {} rounds (maximum {}), overshoot {:.3}, {} bytes",
        median(levels.iter().map(|(rounds, _)| *rounds).collect()),
        levels.iter().map(|(rounds, _)| *rounds).max().expect("cases"),
        levels.iter().map(|(_, overshoot)| *overshoot).fold(0.0, f64::max),
        bytes(&reported),
    );
    for gain in GAINS {
        let prices: Vec<_> = cases.iter().map(|case| run_prices(case, gain)).collect();
        println!(
            "prices, gain {gain}: median {} rounds (maximum {}), overshoot {:.3}, {} bytes",
            median(prices.iter().map(|(rounds, _)| *rounds).collect()),
            prices.iter().map(|(rounds, _)| *rounds).max().expect("cases"),
            prices.iter().map(|(_, overshoot)| *overshoot).fold(0.0, f64::max),
            bytes(&Demand { points: Vec::new(), ..reported.clone() }),
        );
        let rounds = |results: &[(usize, f64)]| median(results.iter().map(|(rounds, _)| *rounds).collect());
        let overshoot =
            |results: &[(usize, f64)]| results.iter().map(|(_, overshoot)| *overshoot).fold(0.0, f64::max);
        assert!(rounds(&levels) <= rounds(&prices), "gain {gain}");
        assert!(overshoot(&levels) < overshoot(&prices), "gain {gain}");
    }
    assert!(levels.iter().all(|(rounds, _)| *rounds <= 2), "{levels:?}");
}
