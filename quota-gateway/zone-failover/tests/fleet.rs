//! Whole fleets on a virtual clock: gateways that report and obey, zones that are lost, cut, slow, cold; links that lose, delay and
//! repeat. Each seed is another deployment. `ZONES_SEEDS` plays more of them.

use marblecroft_control_messages::published::{Decision, DecisionReader, Stamp, Validity};
use marblecroft_control_messages::report::{
    AppliedDecisions, AttemptCounts, Demand, Report, ZoneObservation,
};
use marblecroft_zone_failover::controller::FailoverController;
use marblecroft_zone_failover::decision::{ZoneState, ZonesDecision};
use marblecroft_zone_failover::gateway_limits::{GatewayLimits, MAX_DEMAND_GROWTH};
use marblecroft_zone_failover::settings::{Settings, ZoneSettings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

const TICK_MS: u64 = 100;
const VALID_MS: u32 = 10_000;

/// A fault of a zone, or of all.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Its pay servers are gone.
    Servers(usize),
    /// Its gateways cannot reach other zones, nor these them.
    Partition(usize),
    /// Its pay servers do a tenth of their work.
    Slow(usize),
    /// Gone for a second of every two.
    Flaps(usize),
    /// No gateway reaches any server: the observers' own network.
    AllDark,
    /// Its gateways and its pay servers are gone, and its clients come in elsewhere.
    Lost(usize),
    /// The owner is replaced.
    Owner,
    /// Its gateways hear no decisions and their reports are lost.
    Unreachable(usize),
}

struct Gateway {
    zone: usize,
    reader: DecisionReader<ZonesDecision>,
    incarnation: u64,
    sequence: u64,
    seen: Vec<AttemptCounts>,
    since: u64,
    alive: bool,
    report_at: u64,
}

struct SimulatedFleet {
    rng: ChaCha8Rng,
    settings: Settings,
    now: u64,
    gateways: Vec<Gateway>,
    /// Servers of each zone, and what one bears.
    servers: Vec<f64>,
    unit: f64,
    demand: Vec<f64>,
    fault: Option<Fault>,
    since: u64,
    lossy: f64,
    zones: FailoverController,
    stamp: Stamp,
    /// Decisions and reports on their way: when, to or from which gateway.
    decisions: Vec<(u64, usize, Decision<ZonesDecision>)>,
    reports: Vec<(u64, Report)>,
    last: Option<ZonesDecision>,
    served: f64,
    requested: f64,
    near: f64,
    outs: u32,
    fallen: BTreeSet<String>,
}

fn at(now: u64) -> Duration {
    Duration::from_millis(now)
}

impl SimulatedFleet {
    fn new(seed: u64, gateways: usize, zones: usize, regions: usize, load: f64) -> SimulatedFleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let place = |i: usize| ZoneSettings {
            name: format!("hall-{i}"),
            region: format!("r{}", i * regions / zones),
        };
        let settings =
            Settings { zones: (0..zones).map(place).collect(), server_capacity: 10.0, ..Settings::default() };
        let servers: Vec<f64> = (0..zones).map(|_| f64::from(rng.random_range(20..40))).collect();
        let demand = servers.iter().map(|s| s * 10.0 * load * rng.random_range(0.8..1.2)).collect();
        let gateways = (0..gateways)
            .map(|i| Gateway {
                zone: i % zones,
                reader: DecisionReader::default(),
                incarnation: 1,
                sequence: 0,
                seen: vec![AttemptCounts::default(); zones],
                since: 0,
                alive: true,
                report_at: rng.random_range(0..1000),
            })
            .collect();
        SimulatedFleet {
            zones: FailoverController::new(settings.clone(), at(0), None),
            rng,
            settings,
            now: 0,
            gateways,
            servers,
            unit: 10.0,
            demand,
            fault: None,
            since: 0,
            lossy: 0.0,
            stamp: Stamp { token: 1, revision: 0 },
            decisions: Vec::new(),
            reports: Vec::new(),
            last: None,
            served: 0.0,
            requested: 0.0,
            near: 0.0,
            outs: 0,
            fallen: BTreeSet::new(),
        }
    }

    fn n(&self) -> usize {
        self.servers.len()
    }

    fn dark(&self, from: usize, to: usize) -> bool {
        match self.fault {
            Some(Fault::Servers(z) | Fault::Lost(z)) => to == z,
            Some(Fault::Partition(z)) => (from == z) != (to == z),
            Some(Fault::Flaps(z)) => to == z && ((self.now - self.since) / 1000).is_multiple_of(2),
            Some(Fault::AllDark) => true,
            _ => false,
        }
    }

    fn bears(&self, zone: usize) -> f64 {
        let slow = self.fault == Some(Fault::Slow(zone));
        self.servers[zone] * self.unit * if slow { 0.1 } else { 1.0 }
    }

    fn begin(&mut self, fault: Fault) {
        (self.fault, self.since) = (Some(fault), self.now);
        match fault {
            Fault::Lost(zone) => {
                self.gateways.iter_mut().filter(|g| g.zone == zone).for_each(|g| g.alive = false)
            }
            Fault::Owner => {
                self.zones = FailoverController::new(self.settings.clone(), at(self.now), self.last.as_ref());
                self.stamp = Stamp { token: self.stamp.token + 1, revision: 0 };
            }
            _ => {}
        }
    }

    fn end(&mut self) {
        self.fault = None;
        for gateway in self.gateways.iter_mut().filter(|g| !g.alive) {
            (gateway.alive, gateway.reader, gateway.sequence) = (true, DecisionReader::default(), 0);
            gateway.incarnation += 1;
        }
    }

    /// What each living gateway is asked for: its zone's demand over the living ones, and what lost zones' clients bring.
    fn demand_of_gateways(&self) -> Vec<f64> {
        let living = |zone: usize| self.gateways.iter().filter(|g| g.zone == zone && g.alive).count() as f64;
        let all = self.gateways.iter().filter(|g| g.alive).count().max(1) as f64;
        let homeless: f64 = (0..self.n()).filter(|&z| living(z) == 0.0).map(|z| self.demand[z]).sum();
        let per_zone: Vec<f64> = (0..self.n()).map(|z| self.demand[z] / living(z).max(1.0)).collect();
        self.gateways.iter().map(|g| if g.alive { per_zone[g.zone] + homeless / all } else { 0.0 }).collect()
    }

    fn step(&mut self) {
        self.now += TICK_MS;
        let now = self.now;
        let due = |(when, ..): &(u64, usize, Decision<ZonesDecision>)| *when <= now;
        let (come, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.decisions).into_iter().partition(due);
        self.decisions = later;
        for (_, to, decision) in come {
            let before = self.gateways[to].reader.stamp();
            // Asked for at the latest one delay ago.
            self.gateways[to].reader.accept(at(now.saturating_sub(300)), decision);
            assert!(self.gateways[to].reader.stamp() >= before, "a decision went back at a reader");
        }
        let asked = self.demand_of_gateways();
        let n = self.n();
        // Who sends where: by decision, or alone as the module does, to its own zone first.
        let mut sent = vec![vec![0.0; n]; self.gateways.len()];
        let (mut abroad, mut total) = (vec![0.0; n], vec![0.0; n]);
        for (g, gateway) in self.gateways.iter().enumerate().filter(|(_, g)| g.alive) {
            let name = &self.settings.zones[gateway.zone].name;
            let bound = match gateway.reader.validity(at(now)) {
                Validity::Valid(decision) => GatewayLimits::for_gateway(&decision.body, name, asked[g]),
                _ => None,
            };
            for to in 0..n {
                let units = match &bound {
                    Some(bound) => {
                        let wish = bound.shares[to].1 * asked[g];
                        let most =
                            bound.max_rates.iter().find(|(zone, _)| *zone == self.settings.zones[to].name);
                        let units = most.map_or(wish, |(_, most)| wish.min(*most));
                        if to != gateway.zone {
                            abroad[to] += units;
                        }
                        units
                    }
                    None if to == gateway.zone => asked[g],
                    None => 0.0,
                };
                sent[g][to] = units;
                total[to] += units;
            }
        }
        // A zone is never sent more from elsewhere than it bears and the stated growth, whatever else happens.
        for (zone, sent) in abroad.iter().enumerate() {
            let most = self.servers[zone] * self.unit * MAX_DEMAND_GROWTH;
            assert!(*sent <= most + 1e-6, "{:?} at {now}: zone {zone} is sent {sent} of {most}", self.fault);
        }
        let dt = TICK_MS as f64 / 1000.0;
        for (g, row) in sent.iter().enumerate() {
            let zone = self.gateways[g].zone;
            self.requested += asked[g] * dt;
            for to in 0..n {
                let units = row[to] * dt;
                let dark = self.dark(zone, to);
                let part = (self.bears(to) / total[to].max(1e-9)).min(1.0);
                let seen = &mut self.gateways[g].seen[to];
                if dark {
                    seen.connect_failed += units;
                } else {
                    seen.served += units * part;
                    seen.rejected += units * (1.0 - part);
                    self.served += units * part;
                    self.near += if to == zone { units * part } else { 0.0 };
                }
            }
        }
        self.send_reports(&asked);
        let (come, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reports).into_iter().partition(|(when, _)| *when <= now);
        self.reports = later;
        for (_, report) in come {
            assert_eq!(self.zones.handle_report(at(now), &report), Ok(()));
        }
        if now.is_multiple_of(200) && self.fault != Some(Fault::Owner) || now > self.since + 2000 {
            self.decide();
        }
    }

    fn send_reports(&mut self, asked: &[f64]) {
        let (now, n) = (self.now, self.n());
        for (g, &asked) in asked.iter().enumerate() {
            let is_unreachable = self.fault == Some(Fault::Unreachable(self.gateways[g].zone));
            if now < self.gateways[g].report_at || !self.gateways[g].alive {
                continue;
            }
            self.gateways[g].report_at += 1000;
            let span = now - self.gateways[g].since;
            self.gateways[g].since = now;
            self.gateways[g].sequence += 1;
            let seen = std::mem::replace(&mut self.gateways[g].seen, vec![AttemptCounts::default(); n]);
            let zones = seen.into_iter().enumerate().map(|(z, seen)| {
                // A list says what is listed, not what can be reached.
                let there = !matches!(self.fault, Some(Fault::Lost(lost)) if lost == z);
                let servers = if there { self.servers[z] } else { 0.0 };
                ZoneObservation {
                    zone: self.settings.zones[z].name.clone(),
                    attempts: seen,
                    servers,
                    warm: servers,
                }
            });
            let report = Report {
                gateway: g as u32,
                incarnation: self.gateways[g].incarnation,
                sequence: self.gateways[g].sequence,
                zone: self.settings.zones[self.gateways[g].zone].name.clone(),
                span_ms: span.clamp(1, 60_000) as u32,
                requested_units: asked,
                zones: zones.collect(),
                demand: Demand::default(),
                applied_decisions: AppliedDecisions::default(),
            };
            let lost = is_unreachable || self.rng.random::<f64>() < self.lossy;
            let copies = if lost { 0 } else { 1 + usize::from(self.rng.random::<f64>() < self.lossy) };
            for _ in 0..copies {
                let late = if self.rng.random::<f64>() < self.lossy { 1500 } else { 100 };
                self.reports.push((now + self.rng.random_range(0..=late), report.clone()));
            }
        }
    }

    fn decide(&mut self) {
        let now = self.now;
        let Some(body) = self.zones.tick(at(now)) else { return };
        assert!(
            body.zones
                .iter()
                .any(|zone| !matches!(zone.state, ZoneState::FailedOver | ZoneState::HeldByOperator)),
            "{:?}: all zones are out at {now}: {body:?}",
            self.fault
        );
        for to in 0..self.n() {
            let sent: f64 = body.zones.iter().map(|from| from.shares[to] * from.demand).sum();
            let bears = body.zones[to].capacity;
            assert!(
                sent <= bears * (1.0 + 1e-6) + 1e-6,
                "{:?}: by decision {sent} go to a zone that bears {bears}",
                self.fault
            );
        }
        for moved in
            self.zones.take_state_changes().into_iter().filter(|moved| moved.to == ZoneState::FailedOver)
        {
            self.outs += 1;
            self.fallen.insert(moved.zone);
        }
        self.stamp.revision += 1;
        self.last = Some(body.clone());
        let decision = Decision { stamp: self.stamp, valid_ms: VALID_MS, body };
        for g in 0..self.gateways.len() {
            let zone = self.gateways[g].zone;
            if self.gateways[g].alive && self.fault != Some(Fault::Unreachable(zone)) {
                let when = now + self.rng.random_range(20..300);
                self.decisions.push((when, g, decision.clone()));
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.step();
        }
    }

    /// The share of what is asked that is served over so long, against the most that can be.
    fn goodput(&mut self, ms: u64) -> f64 {
        (self.served, self.requested, self.near) = (0.0, 0.0, 0.0);
        self.run(ms);
        self.served / self.requested
    }

    /// The same if whoever decides knew all: what zones that are up and can be reached by anybody bear, over the demand.
    fn possible(&self) -> f64 {
        let up = |z: usize| !matches!(self.fault, Some(Fault::Servers(l) | Fault::Lost(l)) if l == z);
        let bears: f64 = (0..self.n()).filter(|&z| up(z)).map(|z| self.bears(z)).sum();
        (bears / self.demand.iter().sum::<f64>()).min(1.0)
    }

    fn states(&self) -> Vec<ZoneState> {
        let last = self.last.as_ref().expect("decided");
        last.zones.iter().map(|zone| zone.state).collect()
    }
}

fn seeds(usual: u64) -> std::ops::Range<u64> {
    let told = std::env::var("ZONES_SEEDS").ok().and_then(|n| n.parse().ok());
    0..told.unwrap_or(usual)
}

/// Every fault on fleets of each size: overload, all out and going back are checked at each step; here what comes of it.
#[test]
fn zones_fail_over_and_return_on_fleets_of_every_size() {
    for (gateways, usual) in [(3, 40), (30, 40), (300, 6), (3000, 1)] {
        for seed in seeds(usual).take(if gateways > 300 { 20 } else { usize::MAX }) {
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
            let zones = if gateways == 3 { 3 } else { rng.random_range(3..6) };
            let regions = rng.random_range(1..3);
            let z = rng.random_range(0..zones);
            let faults = [
                Fault::Servers(z),
                Fault::Partition(z),
                Fault::Slow(z),
                Fault::Flaps(z),
                Fault::AllDark,
                Fault::Lost(z),
                Fault::Owner,
                Fault::Unreachable(z),
            ];
            let fault = faults[seed as usize % faults.len()];
            let mut fleet = SimulatedFleet::new(seed, gateways, zones, regions, rng.random_range(0.3..0.75));
            fleet.lossy = if seed % 3 == 0 { 0.1 } else { 0.0 };
            fleet.run(5000);
            let calm = fleet.goodput(5000);
            let what = format!("seed {seed}, {gateways} gateways, {zones} zones, {fault:?}");
            assert!(calm > 0.97, "{what}: calm {calm}");
            assert!(fleet.near / fleet.served > 0.95, "{what}: near {}", fleet.near / fleet.served);
            fleet.begin(fault);
            // Reports each second, evidence that lasts for 900 ms, and the decision's way; a zone's lone gateway needs to be seen
            // served elsewhere first.
            fleet.run(if gateways == 3 { 8000 } else { 3000 });
            let during = fleet.goodput(4000);
            if matches!(fault, Fault::Servers(_) | Fault::Lost(_)) && fleet.lossy == 0.0 {
                let possible = fleet.possible();
                assert!(during >= 0.95 * possible, "{what}: {during} of {possible} possible");
            }
            if fault == Fault::AllDark {
                assert!(
                    fleet.states().iter().all(|s| *s != ZoneState::FailedOver),
                    "{what}: {:?}",
                    fleet.states()
                );
            }
            if matches!(fault, Fault::Owner | Fault::Unreachable(_)) {
                assert!(during > 0.97 && fleet.outs == 0, "{what}: {during}, {} out", fleet.outs);
            }
            let falls = fleet.outs;
            fleet.run(8000);
            fleet.end();
            // Hold and ramp; a zone that has flapped for 16 s is held longer.
            fleet.run(if matches!(fault, Fault::Flaps(_)) { 60_000 } else { 25_000 });
            let after = fleet.goodput(5000);
            assert!(after > 0.97, "{what}: after it {after}, {:?}", fleet.states());
            assert!(fleet.states().iter().all(|s| *s == ZoneState::Serving), "{what}: {:?}", fleet.states());
            assert!(falls <= 3 && fleet.outs <= 5, "{what}: {} moves", fleet.outs);
        }
    }
}

/// Half the demand of a zone that is lost is more than the others have room for: they are kept at what they bear.
#[test]
fn a_failover_never_brings_the_next_zone_down() {
    for seed in seeds(20) {
        let mut fleet = SimulatedFleet::new(seed, 30, 3, 1, 0.85);
        fleet.run(5000);
        fleet.begin(Fault::Servers(1));
        fleet.run(4000);
        let during = fleet.goodput(3000);
        let possible = fleet.possible();
        assert!(during >= 0.95 * possible, "seed {seed}: {during} of {possible}");
        assert_eq!(fleet.fallen, BTreeSet::from(["hall-1".to_owned()]), "seed {seed}: the lost one alone");
        // All ask for three times as much: what goes elsewhere keeps its rate until the next decision, as each step checks.
        fleet.demand.iter_mut().for_each(|demand| *demand *= 3.0);
        fleet.run(2000);
    }
}

/// What a liar among the gateways says moves a decision by no more than its part.
#[test]
fn wrong_values_of_one_gateway_have_little_influence() {
    for seed in seeds(20) {
        let mut fleets = [SimulatedFleet::new(seed, 30, 3, 1, 0.6), SimulatedFleet::new(seed, 30, 3, 1, 0.6)];
        for (lies, fleet) in fleets.iter_mut().enumerate() {
            fleet.run(6000);
            let mut report = Report {
                gateway: 0,
                incarnation: 1,
                sequence: u64::MAX - 1,
                zone: "hall-0".to_owned(),
                span_ms: 1000,
                requested_units: 20.0,
                zones: Vec::new(),
                demand: Demand::default(),
                applied_decisions: AppliedDecisions::default(),
            };
            let seen = |scale: f64| AttemptCounts { served: 20.0 * scale, ..AttemptCounts::default() };
            let lie = lies as f64;
            report.requested_units *= 1.0 + 999.0 * lie;
            for z in 0..3 {
                let failed = AttemptCounts { failed: 20_000.0, ..AttemptCounts::default() };
                let told = if lies == 1 && z == 2 { failed } else { seen(1.0) };
                let servers = fleet.servers[z] * (1.0 + 999.0 * lie);
                report.zones.push(ZoneObservation {
                    zone: format!("hall-{z}"),
                    attempts: told,
                    servers,
                    warm: servers,
                });
            }
            fleet.zones.handle_report(at(fleet.now), &report).expect("well formed");
            fleet.now += 2000;
            fleet
                .zones
                .handle_report(at(fleet.now), &Report { sequence: u64::MAX, ..report })
                .expect("well formed");
            let decided = fleet.zones.tick(at(fleet.now));
            fleet.last = decided.or(fleet.last.take());
        }
        let [honest, lied] = fleets.map(|fleet| fleet.last.expect("decided"));
        for (a, b) in honest.zones.iter().zip(&lied.zones) {
            assert_eq!(a.state, b.state, "seed {seed}");
            assert!(
                (a.capacity - b.capacity).abs() < 0.01 * a.capacity,
                "seed {seed}: bears {} and {}",
                a.capacity,
                b.capacity
            );
            // Its part is clipped at eight times what a gateway is asked for in the mean.
            let mean = honest.zones.iter().map(|zone| zone.demand).sum::<f64>() / 30.0;
            assert!(b.demand <= a.demand + 8.5 * mean, "seed {seed}: asked {} and {}", a.demand, b.demand);
        }
    }
}

/// The same reports, the same decision, byte for byte.
#[test]
fn the_same_inputs_give_the_same_decision() {
    let decided = || {
        let mut fleet = SimulatedFleet::new(3, 30, 4, 2, 0.6);
        fleet.run(6000);
        fleet.begin(Fault::Servers(0));
        fleet.run(5000);
        serde_json::to_vec(&fleet.last).expect("JSON")
    };
    assert_eq!(decided(), decided());
}
