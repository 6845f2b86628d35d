//! Simulated fleets on a virtual clock: the demand of firms jumps, links lose, delay and duplicate messages,
//! and allocators are replaced. The rates of the firms are compared with the reference solution.
//! `SHARES_SEEDS` sets the number of seeds.

use marblecroft_control_messages::published::{Decision, DecisionReader, Stamp};
use marblecroft_control_messages::report::{AppliedDecisions, Report};
use marblecroft_fair_share::allocator::{ShareAllocator, SLACK};
use marblecroft_fair_share::decision::ShareDecision;
use marblecroft_fair_share::demand_curve::{self, LocalFirm};
use marblecroft_fair_share::limiter::SHRINK_INTERVAL;
use marblecroft_fair_share_reference::{jain_index, max_min_shares, Firm};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const VALIDITY: Duration = Duration::from_secs(5);
/// Interval between reports of a gateway, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Clone)]
struct SimulatedFirm {
    demand: f64,
    weight: f64,
    /// Gateways that it uses, with the fraction of its traffic at each.
    spread: Vec<(usize, f64)>,
    /// The same fractions as its gateways know them from the meter.
    metered_fractions: Vec<f64>,
}

struct SimulatedGateway {
    reader: DecisionReader<ShareDecision>,
    points: Vec<f64>,
    sequence: u64,
    report_at: u64,
    is_unreachable: bool,
}

struct SimulatedFleet {
    rng: ChaCha8Rng,
    now: u64,
    capacity: f64,
    firms: Vec<SimulatedFirm>,
    /// For each gateway its firms, each with the index of this gateway in the firm's `spread`.
    firms_by_gateway: Vec<Vec<(usize, usize)>>,
    gateways: Vec<SimulatedGateway>,
    allocator: ShareAllocator,
    stamp: Stamp,
    loss_rate: f64,
    /// Decisions in flight, with the time and the gateway of their arrival.
    decisions: Vec<(u64, usize, Decision<ShareDecision>)>,
    /// Reports in flight, with the time of their arrival.
    reports: Vec<(u64, Report)>,
    last_decision: Option<(Stamp, ShareDecision)>,
    /// Rate of each firm in the last step, in units per second.
    rates: Vec<f64>,
    report_bytes: usize,
    report_count: usize,
    /// There is no allocator until this time.
    no_allocator_until: u64,
}

impl SimulatedFleet {
    fn new(seed: u64, gateways: usize, firms: usize, capacity_fraction: f64) -> SimulatedFleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let random_firm = |rng: &mut ChaCha8Rng, i: usize| {
            let max_gateways = if gateways <= 4 { gateways } else { 9 };
            let gateway_count = rng.random_range(1..=max_gateways.min(gateways));
            let first = rng.random_range(0..gateways);
            let parts: Vec<f64> = (0..gateway_count).map(|_| rng.random_range(0.1..1.0)).collect();
            let sum: f64 = parts.iter().sum();
            let spread: Vec<(usize, f64)> =
                parts.iter().enumerate().map(|(k, part)| ((first + k) % gateways, part / sum)).collect();
            let metered_fractions = spread.iter().map(|(_, fraction)| *fraction).collect();
            SimulatedFirm {
                demand: 10f64.powf(rng.random_range(-0.5..1.5)),
                weight: [1.0, 1.0, 2.0, 4.0][i % 4],
                spread,
                metered_fractions,
            }
        };
        let firms: Vec<SimulatedFirm> = (0..firms).map(|i| random_firm(&mut rng, i)).collect();
        let capacity = firms.iter().map(|firm| firm.demand).sum::<f64>() * capacity_fraction;
        let simulated_gateways = (0..gateways)
            .map(|_| SimulatedGateway {
                reader: DecisionReader::default(),
                points: demand_curve::first_points(),
                sequence: 0,
                report_at: rng.random_range(0..REPORT_INTERVAL_MS),
                is_unreachable: false,
            })
            .collect();
        let mut allocator = ShareAllocator::new(at(0), VALIDITY, SHRINK_INTERVAL, at(2200), None);
        allocator.set_capacity(capacity);
        SimulatedFleet {
            rng,
            now: 0,
            capacity,
            rates: vec![0.0; firms.len()],
            firms,
            firms_by_gateway: Vec::new(),
            gateways: simulated_gateways,
            allocator,
            stamp: Stamp { token: 1, revision: 0 },
            loss_rate: 0.0,
            decisions: Vec::new(),
            reports: Vec::new(),
            last_decision: None,
            report_bytes: 0,
            report_count: 0,
            no_allocator_until: 0,
        }
    }

    /// Updates `firms_by_gateway` from the firms.
    fn index_firms(&mut self) {
        self.firms_by_gateway = vec![Vec::new(); self.gateways.len()];
        for (f, firm) in self.firms.iter().enumerate() {
            firm.spread
                .iter()
                .enumerate()
                .for_each(|(k, (gateway, _))| self.firms_by_gateway[*gateway].push((f, k)));
        }
    }

    /// Returns the firms at a gateway, with their demand there and their weight as the gateway knows it.
    fn firms_at(&self, gateway: usize) -> Vec<(usize, usize, LocalFirm)> {
        let local_firm = |&(f, k): &(usize, usize)| {
            let firm = &self.firms[f];
            (
                f,
                k,
                LocalFirm {
                    demand: firm.demand * firm.spread[k].1,
                    weight: firm.weight * firm.metered_fractions[k],
                },
            )
        };
        self.firms_by_gateway[gateway].iter().map(local_firm).collect()
    }

    /// Computes the rates of all firms under the limits of their gateways, and returns the sum.
    fn compute_rates(&mut self) -> f64 {
        self.rates.iter_mut().for_each(|rate| *rate = 0.0);
        let now = at(self.now);
        let mut sum = 0.0;
        for g in 0..self.gateways.len() {
            let firms_here = self.firms_at(g);
            let local_firms: Vec<LocalFirm> = firms_here.iter().map(|(.., local)| *local).collect();
            // A new limiter, which gets the total demand of each firm as one request.
            let mut limiter = marblecroft_fair_share::limiter::ShareLimiter::new(g as u32);
            for (f, k, local) in &firms_here {
                let quota = marblecroft_fair_share::limiter::FirmQuota {
                    weight: self.firms[*f].weight,
                    local_fraction: self.firms[*f].metered_fractions[*k],
                    equal_fraction: 1.0 / self.firms[*f].spread.len() as f64,
                    rate_limit: f64::INFINITY,
                };
                limiter.request(now, *f as u64, quota, local.demand, false);
            }
            limiter.apply_decision(now, &self.gateways[g].reader);
            for ((f, ..), local) in firms_here.iter().zip(&local_firms) {
                let allowed = limiter.allowed_rate(*f as u64).expect("the firm is tracked");
                let units = match limiter.limit() {
                    marblecroft_fair_share::limiter::ShareLimit::Unlimited => local.demand,
                    _ => local.demand.min(allowed),
                };
                self.rates[*f] += units;
                sum += units;
            }
        }
        sum
    }

    fn step(&mut self, ms: u64) {
        self.now += ms;
        let now = self.now;
        let (arrived, in_flight): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.decisions).into_iter().partition(|(arrives_at, ..)| *arrives_at <= now);
        self.decisions = in_flight;
        for (_, to, decision) in arrived {
            self.gateways[to].points.clone_from(&decision.body.points);
            self.gateways[to].reader.accept(at(now.saturating_sub(300)), decision);
        }
        // Once a second each reachable gateway also reads that there is no newer decision.
        for gateway in self
            .gateways
            .iter_mut()
            .filter(|gateway| !gateway.is_unreachable && now % REPORT_INTERVAL_MS < ms)
        {
            gateway.reader.renew(at(now.saturating_sub(300)));
        }
        for g in 0..self.gateways.len() {
            if now < self.gateways[g].report_at {
                continue;
            }
            self.gateways[g].report_at += REPORT_INTERVAL_MS;
            self.gateways[g].sequence += 1;
            let local_firms: Vec<LocalFirm> = self.firms_at(g).into_iter().map(|(.., local)| local).collect();
            let gateway = &self.gateways[g];
            let demand = demand_curve::sample(&local_firms, &gateway.points);
            let applied_decisions = AppliedDecisions {
                shares: gateway.reader.stamp().unwrap_or_default(),
                ..AppliedDecisions::default()
            };
            let report = Report {
                gateway: g as u32,
                incarnation: 1,
                sequence: gateway.sequence,
                zone: "hall-a".to_owned(),
                span_ms: 1000,
                requested_units: demand.total,
                zones: Vec::new(),
                demand,
                applied_decisions,
            };
            self.report_bytes += postcard::to_stdvec(&report).map_or(0, |bytes| bytes.len());
            self.report_count += 1;
            let is_lost = gateway.is_unreachable || self.rng.random::<f64>() < self.loss_rate;
            let copies = if is_lost { 0 } else { 1 + usize::from(self.rng.random::<f64>() < self.loss_rate) };
            for _ in 0..copies {
                let max_delay = if self.rng.random::<f64>() < self.loss_rate { 1500 } else { 100 };
                self.reports.push((now + self.rng.random_range(0..=max_delay), report.clone()));
            }
        }
        let (arrived, in_flight): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reports).into_iter().partition(|(arrives_at, _)| *arrives_at <= now);
        self.reports = in_flight;
        if now < self.no_allocator_until {
            return;
        }
        for (_, report) in arrived {
            self.allocator.handle_report(at(now), &report).expect("fewer gateways than the maximum");
        }
        if now % 500 < ms {
            let stamp = Stamp { revision: self.stamp.revision + 1, ..self.stamp };
            if let Some(body) = self.allocator.decide(at(now), stamp) {
                self.stamp = stamp;
                self.last_decision = Some((stamp, body.clone()));
                let decision = Decision { stamp, valid_ms: VALIDITY.as_millis() as u32, body };
                for g in 0..self.gateways.len() {
                    // A lost read is retried well before the older decision expires.
                    let retry_delay = if self.rng.random::<f64>() < self.loss_rate { 3500 } else { 0 };
                    if !self.gateways[g].is_unreachable {
                        self.decisions.push((
                            now + retry_delay + self.rng.random_range(20..300),
                            g,
                            decision.clone(),
                        ));
                    }
                }
            }
        }
    }

    /// Runs for `ms`. With `check_capacity`, asserts in every step that the sum of all rates is within the
    /// capacity.
    fn run(&mut self, ms: u64, check_capacity: bool, case: &str) {
        self.index_firms();
        for _ in 0..ms / 250 {
            self.step(250);
            let sent = self.compute_rates();
            if check_capacity {
                let max = self.capacity * (1.0 + SLACK) * (1.0 + 1e-3) + 1e-6;
                assert!(
                    sent <= max,
                    "{case} at {} ms: {sent} units per second exceed the capacity of {}",
                    self.now,
                    self.capacity
                );
            }
            // The metered fractions follow the actual ones with a delay.
            for firm in &mut self.firms {
                for (metered, (_, actual)) in firm.metered_fractions.iter_mut().zip(&firm.spread) {
                    *metered += 0.1 * (actual - *metered);
                }
            }
        }
    }

    /// Returns the firms and their reference shares.
    fn reference_solution(&self) -> (Vec<Firm>, Vec<f64>) {
        let firms: Vec<Firm> =
            self.firms.iter().map(|f| Firm { demand: f.demand, weight: f.weight }).collect();
        let shares = max_min_shares(&firms, self.capacity);
        (firms, shares)
    }

    /// Returns the error and Jain's index. The error is the sum of the distances of all firms from their
    /// reference shares, as a fraction of the capacity; with many firms that is far stricter than the largest
    /// distance.
    fn error_and_jain_index(&mut self) -> (f64, f64) {
        self.compute_rates();
        let (firms, reference_shares) = self.reference_solution();
        let distance = reference_shares.iter().zip(&self.rates).map(|(a, b)| (a - b).abs()).sum::<f64>();
        (distance / self.capacity, jain_index(&firms, &self.rates))
    }

    /// Draws a new demand for half of the firms.
    fn change_demand(&mut self) {
        let n = self.firms.len();
        let mut order: Vec<usize> = (0..n).collect();
        order.shuffle(&mut self.rng);
        for &f in &order[..n.div_ceil(2)] {
            self.firms[f].demand = 10f64.powf(self.rng.random_range(-0.5..1.5));
        }
    }
}

fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let count = std::env::var("SHARES_SEEDS").ok().and_then(|n| n.parse().ok());
    0..count.unwrap_or(default_count)
}

#[test]
fn quota_shares_converge_to_the_reference_and_never_exceed_the_capacity() {
    for (gateways, firms, default_seeds) in [(3, 40, 30), (30, 300, 20), (300, 2000, 2), (3000, 10_000, 1)] {
        for seed in seeds(default_seeds).take(if gateways > 30 { default_seeds as usize } else { usize::MAX })
        {
            let case = format!("seed {seed}, {gateways} gateways, {firms} firms");
            let mut fleet = SimulatedFleet::new(seed, gateways, firms, 0.3 + 0.05 * (seed % 8) as f64);
            fleet.loss_rate = if seed % 3 == 0 { 0.1 } else { 0.0 };
            fleet.run(if gateways > 300 { 4000 } else { 8000 }, false, &case);
            let initial = fleet.error_and_jain_index();
            fleet.change_demand();
            fleet.run(if gateways > 300 { 3000 } else { 5000 }, true, &case);
            let (error, index) = fleet.error_and_jain_index();
            if fleet.loss_rate == 0.0 {
                assert!(initial.0 < 0.01, "{case}: initial error and Jain index {initial:?}");
                assert!(
                    error < 0.05 && index > 0.95,
                    "{case}: error {error} and Jain index {index} after the demand changed"
                );
            }
        }
    }
}

/// With a loss rate of 20%, and a third of the gateways unreachable, a new allocator, or 30 s without an
/// allocator, the sum of all rates stays within the capacity. 3 s after the capacity halves, the sum is
/// within it again.
#[test]
fn grants_never_exceed_the_capacity_under_partitions_delays_and_losses() {
    for seed in seeds(24) {
        let case = format!("seed {seed}");
        let mut fleet = SimulatedFleet::new(seed, 30, 200, 0.5);
        fleet.run(8000, false, &case);
        fleet.loss_rate = 0.2;
        match seed % 4 {
            0 => fleet.gateways.iter_mut().step_by(3).for_each(|gateway| gateway.is_unreachable = true),
            1 => {
                fleet.allocator = ShareAllocator::new(
                    at(fleet.now),
                    VALIDITY,
                    SHRINK_INTERVAL,
                    at(2200),
                    fleet.last_decision.as_ref().map(|(s, b)| (*s, b)),
                );
                fleet.allocator.set_capacity(fleet.capacity);
                fleet.stamp = Stamp { token: 2, revision: 0 };
            }
            2 => fleet.no_allocator_until = fleet.now + 30_000,
            _ => {}
        }
        for _ in 0..4 {
            fleet.change_demand();
            fleet.run(6000, true, &case);
        }
        fleet.gateways.iter_mut().for_each(|gateway| gateway.is_unreachable = false);
        fleet.loss_rate = 0.0;
        fleet.run(12_000, true, &case);
        let (error, index) = fleet.error_and_jain_index();
        assert!(error < 0.05, "{case}: error {error} and Jain index {index} after the partitions");
        // After the capacity halves, the sum of all rates is within it again once every gateway has applied a
        // smaller grant.
        fleet.capacity *= 0.5;
        fleet.allocator.set_capacity(fleet.capacity);
        fleet.run(3000, false, &case);
        fleet.run(4000, true, &case);
        assert!(fleet.error_and_jain_index().0 < 0.05, "{case}: {:?}", fleet.error_and_jain_index());
    }
}

/// A firm that requests ten times the units that it can use, at all its gateways or at one, gets no more than
/// with its actual demand, and the other firms get their demand or at least their share by weight.
#[test]
fn inflated_demand_gains_nothing_and_takes_nothing_from_small_firms() {
    for seed in seeds(12) {
        let case = format!("seed {seed}");
        let mut honest = SimulatedFleet::new(seed, 12, 60, 0.4);
        let fair_level = honest.capacity / honest.firms.iter().map(|f| f.weight).sum::<f64>();
        honest.firms[0].demand = 3.0 * fair_level * honest.firms[0].weight;
        honest.run(12_000, false, &case);
        honest.error_and_jain_index();
        let mut greedy = SimulatedFleet::new(seed, 12, 60, 0.4);
        greedy.firms[0].demand = 30.0 * fair_level * greedy.firms[0].weight;
        if seed % 2 == 0 {
            let first = greedy.firms[0].spread[0].0;
            (greedy.firms[0].spread, greedy.firms[0].metered_fractions) = (vec![(first, 1.0)], vec![1.0]);
        }
        greedy.capacity = honest.capacity;
        greedy.allocator.set_capacity(honest.capacity);
        greedy.run(12_000, false, &case);
        greedy.error_and_jain_index();
        assert!(
            greedy.rates[0] <= honest.rates[0] * 1.05 + 0.05,
            "{case}: the greedy firm gets {} and the honest one {}",
            greedy.rates[0],
            honest.rates[0]
        );
        for (f, firm) in greedy.firms.iter().enumerate() {
            let min_rate = firm.demand.min(fair_level * firm.weight);
            assert!(
                greedy.rates[f] >= 0.95 * min_rate - 0.02,
                "{case}: firm {f} gets {} of at least {min_rate}",
                greedy.rates[f]
            );
        }
    }
}

#[test]
fn reports_do_not_grow_with_firms() {
    let bytes_per_report = |firms| {
        let mut fleet = SimulatedFleet::new(1, 30, firms, 0.5);
        fleet.run(3000, false, "report size");
        fleet.report_bytes / fleet.report_count
    };
    let (few, many) = (bytes_per_report(100), bytes_per_report(5000));
    assert!(many <= few + few / 10 && many < 700, "{few} bytes per report with 100 firms, {many} with 5000");
}
