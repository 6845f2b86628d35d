//! Whole fleets on a virtual clock: firms whose demand jumps, gateways that sum up and obey, links that lose, delay and repeat,
//! owners that are replaced. What firms get is held against the exact solution. `SHARES_SEEDS` plays more of them.

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

const VALID: Duration = Duration::from_secs(5);
const ROUND: u64 = 1000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A client firm: what it asks for, its weight, the gateways that it comes through and with which parts.
#[derive(Clone)]
struct Client {
    demand: f64,
    weight: f64,
    /// What it truly wants; inflated demand asks for more.
    spread: Vec<(usize, f64)>,
    /// The parts as its gateways believe them to be.
    believed: Vec<f64>,
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
    firms: Vec<Client>,
    at: Vec<Vec<(usize, usize)>>,
    gateways: Vec<SimulatedGateway>,
    allocator: ShareAllocator,
    stamp: Stamp,
    loss_rate: f64,
    decisions: Vec<(u64, usize, Decision<ShareDecision>)>,
    reports: Vec<(u64, Report)>,
    last: Option<(Stamp, ShareDecision)>,
    /// What each firm gets, in units a second, in the last step.
    received: Vec<f64>,
    bytes: usize,
    messages: usize,
    /// No owner until then.
    no_owner_until: u64,
}

impl SimulatedFleet {
    fn new(seed: u64, gateways: usize, firms: usize, short: f64) -> SimulatedFleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let client = |rng: &mut ChaCha8Rng, i: usize| {
            let most = if gateways <= 4 { gateways } else { 9 };
            let size = rng.random_range(1..=most.min(gateways));
            let first = rng.random_range(0..gateways);
            let parts: Vec<f64> = (0..size).map(|_| rng.random_range(0.1..1.0)).collect();
            let sum: f64 = parts.iter().sum();
            let spread: Vec<(usize, f64)> =
                parts.iter().enumerate().map(|(k, part)| ((first + k) % gateways, part / sum)).collect();
            let believed = spread.iter().map(|(_, part)| *part).collect();
            Client {
                demand: 10f64.powf(rng.random_range(-0.5..1.5)),
                weight: [1.0, 1.0, 2.0, 4.0][i % 4],
                spread,
                believed,
            }
        };
        let firms: Vec<Client> = (0..firms).map(|i| client(&mut rng, i)).collect();
        let capacity = firms.iter().map(|firm| firm.demand).sum::<f64>() * short;
        let simulated_gateways = (0..gateways)
            .map(|_| SimulatedGateway {
                reader: DecisionReader::default(),
                points: demand_curve::first_points(),
                sequence: 0,
                report_at: rng.random_range(0..ROUND),
                is_unreachable: false,
            })
            .collect();
        let mut allocator = ShareAllocator::new(at(0), VALID, SHRINK_INTERVAL, at(2200), None);
        allocator.set_capacity(capacity);
        SimulatedFleet {
            rng,
            now: 0,
            capacity,
            received: vec![0.0; firms.len()],
            firms,
            at: Vec::new(),
            gateways: simulated_gateways,
            allocator,
            stamp: Stamp { token: 1, revision: 0 },
            loss_rate: 0.0,
            decisions: Vec::new(),
            reports: Vec::new(),
            last: None,
            bytes: 0,
            messages: 0,
            no_owner_until: 0,
        }
    }

    /// Which firms come through each gateway, and as which of theirs.
    fn index(&mut self) {
        self.at = vec![Vec::new(); self.gateways.len()];
        for (f, firm) in self.firms.iter().enumerate() {
            firm.spread.iter().enumerate().for_each(|(k, (gateway, _))| self.at[*gateway].push((f, k)));
        }
    }

    /// What each gateway's firms are there, as it believes.
    fn here(&self, gateway: usize) -> Vec<(usize, usize, LocalFirm)> {
        let here = |&(f, k): &(usize, usize)| {
            let firm = &self.firms[f];
            (
                f,
                k,
                LocalFirm { demand: firm.demand * firm.spread[k].1, weight: firm.weight * firm.believed[k] },
            )
        };
        self.at[gateway].iter().map(here).collect()
    }

    /// What all send on in this moment: by the level and the grant, or alone; the sum.
    fn send(&mut self) -> f64 {
        self.received.iter_mut().for_each(|gets| *gets = 0.0);
        let now = at(self.now);
        let mut all = 0.0;
        for g in 0..self.gateways.len() {
            let here = self.here(g);
            let firms: Vec<LocalFirm> = here.iter().map(|(.., here)| *here).collect();
            // The gateway's own code, fed with what its firms ask for.
            let mut limiter = marblecroft_fair_share::limiter::ShareLimiter::new(g as u32);
            for (f, k, here) in &here {
                let known = marblecroft_fair_share::limiter::FirmQuota {
                    weight: self.firms[*f].weight,
                    local_fraction: self.firms[*f].believed[*k],
                    equal_fraction: 1.0 / self.firms[*f].spread.len() as f64,
                    rate_limit: f64::INFINITY,
                };
                limiter.request(now, *f as u64, known, here.demand, false);
            }
            limiter.apply_decision(now, &self.gateways[g].reader);
            for ((f, ..), here) in here.iter().zip(&firms) {
                let allowed = limiter.allowed_rate(*f as u64).expect("it has just asked");
                let units = match limiter.limit() {
                    marblecroft_fair_share::limiter::ShareLimit::Unlimited => here.demand,
                    _ => here.demand.min(allowed),
                };
                self.received[*f] += units;
                all += units;
            }
        }
        all
    }

    fn step(&mut self, ms: u64) {
        self.now += ms;
        let now = self.now;
        let (come, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.decisions).into_iter().partition(|(when, ..)| *when <= now);
        self.decisions = later;
        for (_, to, decision) in come {
            self.gateways[to].points.clone_from(&decision.body.points);
            self.gateways[to].reader.accept(at(now.saturating_sub(300)), decision);
        }
        // That nothing is newer is heard as well, each second.
        for gateway in self.gateways.iter_mut().filter(|gateway| !gateway.is_unreachable && now % ROUND < ms)
        {
            gateway.reader.renew(at(now.saturating_sub(300)));
        }
        for g in 0..self.gateways.len() {
            if now < self.gateways[g].report_at {
                continue;
            }
            self.gateways[g].report_at += ROUND;
            self.gateways[g].sequence += 1;
            let here: Vec<LocalFirm> = self.here(g).into_iter().map(|(.., here)| here).collect();
            let gateway = &self.gateways[g];
            let shares = demand_curve::sample(&here, &gateway.points);
            let goes_by = AppliedDecisions {
                shares: gateway.reader.stamp().unwrap_or_default(),
                ..AppliedDecisions::default()
            };
            let report = Report {
                gateway: g as u32,
                incarnation: 1,
                sequence: gateway.sequence,
                zone: "hall-a".to_owned(),
                span_ms: 1000,
                requested_units: shares.total,
                zones: Vec::new(),
                demand: shares,
                applied_decisions: goes_by,
            };
            self.bytes += postcard::to_stdvec(&report).map_or(0, |bytes| bytes.len());
            self.messages += 1;
            let lost = gateway.is_unreachable || self.rng.random::<f64>() < self.loss_rate;
            let copies = if lost { 0 } else { 1 + usize::from(self.rng.random::<f64>() < self.loss_rate) };
            for _ in 0..copies {
                let late = if self.rng.random::<f64>() < self.loss_rate { 1500 } else { 100 };
                self.reports.push((now + self.rng.random_range(0..=late), report.clone()));
            }
        }
        let (come, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reports).into_iter().partition(|(when, _)| *when <= now);
        self.reports = later;
        if now < self.no_owner_until {
            return;
        }
        for (_, report) in come {
            self.allocator.handle_report(at(now), &report).expect("well formed");
        }
        if now % 500 < ms {
            let stamp = Stamp { revision: self.stamp.revision + 1, ..self.stamp };
            if let Some(body) = self.allocator.decide(at(now), stamp) {
                self.stamp = stamp;
                self.last = Some((stamp, body.clone()));
                let decision = Decision { stamp, valid_ms: VALID.as_millis() as u32, body };
                for g in 0..self.gateways.len() {
                    // A read that is lost is made again, well within the time in which the older decision is valid.
                    let again = if self.rng.random::<f64>() < self.loss_rate { 3500 } else { 0 };
                    if !self.gateways[g].is_unreachable {
                        self.decisions.push((
                            now + again + self.rng.random_range(20..300),
                            g,
                            decision.clone(),
                        ));
                    }
                }
            }
        }
    }

    /// Runs, and holds the sum of what is sent against the capacity in every step from `bound` on.
    fn run(&mut self, ms: u64, bound: bool, what: &str) {
        self.index();
        for _ in 0..ms / 250 {
            self.step(250);
            let sent = self.send();
            if bound {
                let most = self.capacity * (1.0 + SLACK) * (1.0 + 1e-3) + 1e-6;
                assert!(sent <= most, "{what} at {}: {sent} of {}", self.now, self.capacity);
            }
            // What gateways believe of a firm's parts follows the meter.
            for firm in &mut self.firms {
                for (believed, (_, part)) in firm.believed.iter_mut().zip(&firm.spread) {
                    *believed += 0.1 * (part - *believed);
                }
            }
        }
    }

    fn reference(&self) -> (Vec<Firm>, Vec<f64>) {
        let firms: Vec<Firm> =
            self.firms.iter().map(|f| Firm { demand: f.demand, weight: f.weight }).collect();
        let gets = max_min_shares(&firms, self.capacity);
        (firms, gets)
    }

    /// All distances from the exact solution added up, as a share of the capacity, which is far stricter than the largest of
    /// them where firms are many; and Jain's index.
    fn error(&mut self) -> (f64, f64) {
        self.send();
        let (firms, exact) = self.reference();
        let far = exact.iter().zip(&self.received).map(|(a, b)| (a - b).abs()).sum::<f64>();
        (far / self.capacity, jain_index(&firms, &self.received))
    }

    /// Demand jumps: half of the firms ask for something else, and some come through other gateways.
    fn jump(&mut self) {
        let n = self.firms.len();
        let mut order: Vec<usize> = (0..n).collect();
        order.shuffle(&mut self.rng);
        for &f in &order[..n.div_ceil(2)] {
            self.firms[f].demand = 10f64.powf(self.rng.random_range(-0.5..1.5));
        }
    }
}

fn seeds(usual: u64) -> std::ops::Range<u64> {
    let told = std::env::var("SHARES_SEEDS").ok().and_then(|n| n.parse().ok());
    0..told.unwrap_or(usual)
}

#[test]
fn quota_shares_converge_to_the_reference_and_never_exceed_the_capacity() {
    for (gateways, firms, usual) in [(3, 40, 30), (30, 300, 20), (300, 2000, 2), (3000, 10_000, 1)] {
        for seed in seeds(usual).take(if gateways > 30 { usual as usize } else { usize::MAX }) {
            let what = format!("seed {seed}, {gateways} gateways, {firms} firms");
            let mut fleet = SimulatedFleet::new(seed, gateways, firms, 0.3 + 0.05 * (seed % 8) as f64);
            fleet.loss_rate = if seed % 3 == 0 { 0.1 } else { 0.0 };
            fleet.run(if gateways > 300 { 4000 } else { 8000 }, false, &what);
            let begun = fleet.error();
            fleet.jump();
            fleet.run(if gateways > 300 { 3000 } else { 5000 }, true, &what);
            let (error, index) = fleet.error();
            if fleet.loss_rate == 0.0 {
                assert!(begun.0 < 0.01, "{what}: at first {begun:?}");
                assert!(error < 0.05 && index > 0.95, "{what}: 5 s after a jump {error}, {index}");
            }
        }
    }
}

/// Cuts, an owner that is replaced, none for 30 s, a capacity that halves: the sum holds all the while.
#[test]
fn grants_never_exceed_the_capacity_under_partitions_delays_and_losses() {
    for seed in seeds(24) {
        let what = format!("seed {seed}");
        let mut fleet = SimulatedFleet::new(seed, 30, 200, 0.5);
        fleet.run(8000, false, &what);
        fleet.loss_rate = 0.2;
        match seed % 4 {
            0 => fleet.gateways.iter_mut().step_by(3).for_each(|gateway| gateway.is_unreachable = true),
            1 => {
                fleet.allocator = ShareAllocator::new(
                    at(fleet.now),
                    VALID,
                    SHRINK_INTERVAL,
                    at(2200),
                    fleet.last.as_ref().map(|(s, b)| (*s, b)),
                );
                fleet.allocator.set_capacity(fleet.capacity);
                fleet.stamp = Stamp { token: 2, revision: 0 };
            }
            2 => fleet.no_owner_until = fleet.now + 30_000,
            _ => {}
        }
        for _ in 0..4 {
            fleet.jump();
            fleet.run(6000, true, &what);
        }
        fleet.gateways.iter_mut().for_each(|gateway| gateway.is_unreachable = false);
        fleet.loss_rate = 0.0;
        fleet.run(12_000, true, &what);
        let (error, index) = fleet.error();
        assert!(error < 0.05, "{what}: healed {error}, {index}");
        // A capacity that halves: the sum is under it again once every gateway has said that it goes by less.
        fleet.capacity *= 0.5;
        fleet.allocator.set_capacity(fleet.capacity);
        fleet.run(3000, false, &what);
        fleet.run(4000, true, &what);
        assert!(fleet.error().0 < 0.05, "{what}: {:?}", fleet.error());
    }
}

/// A firm that asks for ten times its part, at all gateways or at one, gets no more than by asking for all it can use; and
/// the small ones beside it have their least share.
#[test]
fn inflated_demand_gains_nothing_and_takes_nothing_from_small_firms() {
    for seed in seeds(12) {
        let what = format!("seed {seed}");
        let mut honest = SimulatedFleet::new(seed, 12, 60, 0.4);
        let part = honest.capacity / honest.firms.iter().map(|f| f.weight).sum::<f64>();
        honest.firms[0].demand = 3.0 * part * honest.firms[0].weight;
        honest.run(12_000, false, &what);
        honest.error();
        let mut greedy = SimulatedFleet::new(seed, 12, 60, 0.4);
        greedy.firms[0].demand = 30.0 * part * greedy.firms[0].weight;
        if seed % 2 == 0 {
            let first = greedy.firms[0].spread[0].0;
            (greedy.firms[0].spread, greedy.firms[0].believed) = (vec![(first, 1.0)], vec![1.0]);
        }
        greedy.capacity = honest.capacity;
        greedy.allocator.set_capacity(honest.capacity);
        greedy.run(12_000, false, &what);
        greedy.error();
        assert!(
            greedy.received[0] <= honest.received[0] * 1.05 + 0.05,
            "{what}: {} and {}",
            greedy.received[0],
            honest.received[0]
        );
        for (f, firm) in greedy.firms.iter().enumerate() {
            let least = firm.demand.min(part * firm.weight);
            assert!(
                greedy.received[f] >= 0.95 * least - 0.02,
                "{what}: firm {f} has {} of {least}",
                greedy.received[f]
            );
        }
    }
}

/// What it costs on the wire does not grow with firms.
#[test]
fn reports_do_not_grow_with_firms() {
    let size = |firms| {
        let mut fleet = SimulatedFleet::new(1, 30, firms, 0.5);
        fleet.run(3000, false, "size");
        fleet.bytes / fleet.messages
    };
    let (few, many) = (size(100), size(5000));
    assert!(many <= few + few / 10 && many < 700, "{few} and {many} bytes a report");
}
