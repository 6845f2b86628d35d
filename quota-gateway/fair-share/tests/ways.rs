//! Two ways of sharing side by side, on the same firms and the same rounds: **levels** (sums at points, inverted by the owner), which is
//! what the product does, and **prices** (one sum each, and a level that the owner moves by how far the sum is off). What is measured
//! is rounds until the error stays under 5%, the most that is sent beyond the capacity on the way, and bytes a report.

use marblecroft_control_messages::report::Demand;
use marblecroft_fair_share::demand_curve::{self, interpolate, LocalFirm};
use marblecroft_fair_share_reference::{max_min_shares, Firm};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: usize = 30;
const ROUNDS: usize = 60;
/// How strongly a price answers; stronger ones were tried and swing, weaker ones take longer (`docs/fair-share.md`).
const GAINS: [f64; 3] = [0.3, 0.6, 1.0];

struct Case {
    firms: Vec<Firm>,
    here: Vec<Vec<(usize, LocalFirm)>>,
    capacity: f64,
    exact: Vec<f64>,
}

fn case(rng: &mut ChaCha8Rng, firms: usize) -> Case {
    let firms: Vec<Firm> = (0..firms)
        .map(|i| Firm {
            demand: 10f64.powf(rng.random_range(-0.5..1.5)),
            weight: [1.0, 1.0, 2.0, 4.0][i % 4],
        })
        .collect();
    let mut here = vec![Vec::new(); GATEWAYS];
    for (f, firm) in firms.iter().enumerate() {
        let parts: Vec<f64> = (0..rng.random_range(1..9)).map(|_| rng.random_range(0.1..1.0)).collect();
        let (sum, first): (f64, usize) = (parts.iter().sum(), rng.random_range(0..GATEWAYS));
        for (k, part) in parts.iter().enumerate() {
            let part = part / sum;
            here[(first + k) % GATEWAYS]
                .push((f, LocalFirm { demand: firm.demand * part, weight: firm.weight * part }));
        }
    }
    let capacity = firms.iter().map(|firm| firm.demand).sum::<f64>() * rng.random_range(0.3..0.8);
    Case { exact: max_min_shares(&firms, capacity), firms, here, capacity }
}

impl Case {
    fn here(&self, gateway: usize) -> Vec<LocalFirm> {
        self.here[gateway].iter().map(|(_, here)| *here).collect()
    }

    /// What is sent at a level: all distances from the exact solution as a share of the capacity, and what is beyond it.
    fn outcome(&self, level: f64) -> (f64, f64) {
        let mut gets = vec![0.0; self.firms.len()];
        for (f, here) in self.here.iter().flatten() {
            gets[*f] += here.demand.min(level * here.weight);
        }
        let far: f64 = self.exact.iter().zip(&gets).map(|(a, b)| (a - b).abs()).sum();
        (far / self.capacity, gets.iter().sum::<f64>() / self.capacity - 1.0)
    }

    fn level(&self, told: &[Demand]) -> f64 {
        let sum = |level: f64| told.iter().map(|asked| interpolate(asked, level)).sum::<f64>();
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

/// Rounds until the error stays under 5%, and the most beyond the capacity.
fn judged(case: &Case, levels: &[f64]) -> (usize, f64) {
    let outcomes: Vec<(f64, f64)> = levels.iter().map(|level| case.outcome(*level)).collect();
    let last_off = outcomes.iter().rposition(|(error, _)| *error >= 0.05);
    (last_off.map_or(0, |at| at + 1), outcomes.iter().map(|(_, beyond)| *beyond).fold(0.0, f64::max))
}

fn median<T: PartialOrd + Copy>(mut all: Vec<T>) -> T {
    all.sort_by(|a, b| a.partial_cmp(b).expect("numbers"));
    all[all.len() / 2]
}

#[test]
fn levels_converge_in_fewer_rounds_than_prices_and_pass_the_capacity_by_less() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let cases: Vec<(Case, Case)> = (0..20).map(|_| (case(&mut rng, 300), case(&mut rng, 300))).collect();
    // From the level that fitted the case before: a jump of all demands and of the capacity.
    let by_levels = |(before, now): &(Case, Case)| {
        let fit = |case: &Case, points: &[f64]| {
            case.level(
                &(0..GATEWAYS).map(|g| demand_curve::sample(&case.here(g), points)).collect::<Vec<_>>(),
            )
        };
        let mut level = fit(before, &demand_curve::points_around(fit(before, &demand_curve::first_points())));
        let mut levels = Vec::new();
        for _ in 0..ROUNDS {
            level = fit(now, &demand_curve::points_around(level));
            levels.push(level);
        }
        judged(now, &levels)
    };
    let by_prices = |(before, now): &(Case, Case), gain: f64| {
        let all: Vec<LocalFirm> = before.here.iter().flatten().map(|(_, here)| *here).collect();
        let mut levels = vec![demand_curve::level_for(&all, before.capacity).expect("it is short")];
        for round in 0..ROUNDS - 1 {
            let sent = now
                .here
                .iter()
                .flatten()
                .map(|(_, here)| here.demand.min(levels[round] * here.weight))
                .sum::<f64>();
            levels.push(levels[round] * (now.capacity / sent).powf(gain));
        }
        judged(now, &levels)
    };
    let levels: Vec<_> = cases.iter().map(by_levels).collect();
    let told = demand_curve::sample(&cases[0].0.here(0), &demand_curve::points_around(3.0));
    let bytes = |asked: &Demand| postcard::to_stdvec(asked).map_or(0, |bytes| bytes.len());
    println!(
        "levels: rounds {} (most {}), beyond {:.3}, {} bytes",
        median(levels.iter().map(|(rounds, _)| *rounds).collect()),
        levels.iter().map(|(rounds, _)| *rounds).max().expect("cases"),
        levels.iter().map(|(_, beyond)| *beyond).fold(0.0, f64::max),
        bytes(&told),
    );
    for gain in GAINS {
        let prices: Vec<_> = cases.iter().map(|case| by_prices(case, gain)).collect();
        println!(
            "prices, gain {gain}: rounds {} (most {}), beyond {:.3}, {} bytes",
            median(prices.iter().map(|(rounds, _)| *rounds).collect()),
            prices.iter().map(|(rounds, _)| *rounds).max().expect("cases"),
            prices.iter().map(|(_, beyond)| *beyond).fold(0.0, f64::max),
            bytes(&Demand { points: Vec::new(), ..told.clone() }),
        );
        let rounds = |all: &[(usize, f64)]| median(all.iter().map(|(rounds, _)| *rounds).collect());
        let beyond = |all: &[(usize, f64)]| all.iter().map(|(_, beyond)| *beyond).fold(0.0, f64::max);
        assert!(rounds(&levels) <= rounds(&prices), "gain {gain}");
        assert!(beyond(&levels) < beyond(&prices), "gain {gain}");
    }
    assert!(levels.iter().all(|(rounds, _)| *rounds <= 2), "{levels:?}");
}
