//! Simulated fleets on a virtual clock: zones are lost, partitioned or slow, owners are replaced, and links
//! lose, delay and duplicate messages. Each seed is another deployment. `ZONES_SEEDS` sets the number of
//! seeds.

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
const DECISION_TTL_MS: u32 = 10_000;

/// A fault of one zone or of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The pay servers of a zone are lost.
    ServersLost(usize),
    /// The gateways and pay servers of a zone and those of other zones cannot reach each other.
    Partition(usize),
    /// The pay servers of a zone have a tenth of their capacity.
    Slow(usize),
    /// The pay servers of a zone are unreachable for one second of every two.
    Flapping(usize),
    /// No gateway reaches any server, because the network of the observers has failed.
    AllUnreachable,
    /// The gateways and pay servers of a zone are lost, and its clients use other zones.
    ZoneLost(usize),
    /// The owner is replaced.
    OwnerReplaced,
    /// The gateways of a zone get no decisions, and their reports are lost.
    ControlPartition(usize),
}

struct SimulatedGateway {
    zone: usize,
    reader: DecisionReader<ZonesDecision>,
    incarnation: u64,
    sequence: u64,
    /// Attempts at each zone since the last report.
    attempts: Vec<AttemptCounts>,
    last_report_at: u64,
    is_running: bool,
    next_report_at: u64,
}

struct SimulatedFleet {
    rng: ChaCha8Rng,
    settings: Settings,
    now: u64,
    gateways: Vec<SimulatedGateway>,
    /// Number of servers of each zone.
    servers: Vec<f64>,
    server_capacity: f64,
    /// Units per second that the clients of each zone request.
    demand: Vec<f64>,
    fault: Option<Fault>,
    fault_since: u64,
    loss_rate: f64,
    controller: FailoverController,
    stamp: Stamp,
    /// Decisions in flight, with the time and the gateway of their arrival.
    decisions: Vec<(u64, usize, Decision<ZonesDecision>)>,
    /// Reports in flight, with the time of their arrival.
    reports: Vec<(u64, Report)>,
    last_decision: Option<ZonesDecision>,
    served: f64,
    requested: f64,
    served_in_local_zone: f64,
    failover_count: u32,
    failed_over_zones: BTreeSet<String>,
}

fn at(now: u64) -> Duration {
    Duration::from_millis(now)
}

impl SimulatedFleet {
    fn new(seed: u64, gateways: usize, zones: usize, regions: usize, load: f64) -> SimulatedFleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let zone = |i: usize| ZoneSettings {
            name: format!("hall-{i}"),
            region: format!("r{}", i * regions / zones),
        };
        let settings =
            Settings { zones: (0..zones).map(zone).collect(), server_capacity: 10.0, ..Settings::default() };
        let servers: Vec<f64> = (0..zones).map(|_| f64::from(rng.random_range(20..40))).collect();
        let demand = servers.iter().map(|s| s * 10.0 * load * rng.random_range(0.8..1.2)).collect();
        let gateways = (0..gateways)
            .map(|i| SimulatedGateway {
                zone: i % zones,
                reader: DecisionReader::default(),
                incarnation: 1,
                sequence: 0,
                attempts: vec![AttemptCounts::default(); zones],
                last_report_at: 0,
                is_running: true,
                next_report_at: rng.random_range(0..1000),
            })
            .collect();
        SimulatedFleet {
            controller: FailoverController::new(settings.clone(), at(0), None),
            rng,
            settings,
            now: 0,
            gateways,
            servers,
            server_capacity: 10.0,
            demand,
            fault: None,
            fault_since: 0,
            loss_rate: 0.0,
            stamp: Stamp { token: 1, revision: 0 },
            decisions: Vec::new(),
            reports: Vec::new(),
            last_decision: None,
            served: 0.0,
            requested: 0.0,
            served_in_local_zone: 0.0,
            failover_count: 0,
            failed_over_zones: BTreeSet::new(),
        }
    }

    fn zone_count(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether gateways of a zone cannot reach the servers of another.
    fn is_unreachable(&self, from: usize, to: usize) -> bool {
        match self.fault {
            Some(Fault::ServersLost(z) | Fault::ZoneLost(z)) => to == z,
            Some(Fault::Partition(z)) => (from == z) != (to == z),
            Some(Fault::Flapping(z)) => to == z && ((self.now - self.fault_since) / 1000).is_multiple_of(2),
            Some(Fault::AllUnreachable) => true,
            _ => false,
        }
    }

    fn capacity(&self, zone: usize) -> f64 {
        let is_slow = self.fault == Some(Fault::Slow(zone));
        self.servers[zone] * self.server_capacity * if is_slow { 0.1 } else { 1.0 }
    }

    fn begin_fault(&mut self, fault: Fault) {
        (self.fault, self.fault_since) = (Some(fault), self.now);
        match fault {
            Fault::ZoneLost(zone) => {
                self.gateways.iter_mut().filter(|g| g.zone == zone).for_each(|g| g.is_running = false)
            }
            Fault::OwnerReplaced => {
                self.controller =
                    FailoverController::new(self.settings.clone(), at(self.now), self.last_decision.as_ref());
                self.stamp = Stamp { token: self.stamp.token + 1, revision: 0 };
            }
            _ => {}
        }
    }

    fn end_fault(&mut self) {
        self.fault = None;
        for gateway in self.gateways.iter_mut().filter(|g| !g.is_running) {
            (gateway.is_running, gateway.reader, gateway.sequence) = (true, DecisionReader::default(), 0);
            gateway.incarnation += 1;
        }
    }

    /// Returns the demand at each gateway. The demand of a zone is spread over its running gateways, or over
    /// those of all zones if it has none.
    fn demand_of_gateways(&self) -> Vec<f64> {
        let running =
            |zone: usize| self.gateways.iter().filter(|g| g.zone == zone && g.is_running).count() as f64;
        let all_running = self.gateways.iter().filter(|g| g.is_running).count().max(1) as f64;
        let displaced: f64 =
            (0..self.zone_count()).filter(|&z| running(z) == 0.0).map(|z| self.demand[z]).sum();
        let per_gateway: Vec<f64> =
            (0..self.zone_count()).map(|z| self.demand[z] / running(z).max(1.0)).collect();
        self.gateways
            .iter()
            .map(|g| if g.is_running { per_gateway[g.zone] + displaced / all_running } else { 0.0 })
            .collect()
    }

    fn step(&mut self) {
        self.now += TICK_MS;
        let now = self.now;
        let is_due = |(arrives_at, ..): &(u64, usize, Decision<ZonesDecision>)| *arrives_at <= now;
        let (arrived, in_flight): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.decisions).into_iter().partition(is_due);
        self.decisions = in_flight;
        for (_, to, decision) in arrived {
            let old_stamp = self.gateways[to].reader.stamp();
            // Validity starts when the read was sent, at most 300 ms ago.
            self.gateways[to].reader.accept(at(now.saturating_sub(300)), decision);
            assert!(self.gateways[to].reader.stamp() >= old_stamp, "a reader returned to an older decision");
        }
        let demand = self.demand_of_gateways();
        let zone_count = self.zone_count();
        // Units per second from each gateway (row) to each zone (column): by the decision, or to its own zone
        // without a valid one.
        let mut sent = vec![vec![0.0; zone_count]; self.gateways.len()];
        let (mut from_other_zones, mut total) = (vec![0.0; zone_count], vec![0.0; zone_count]);
        for (g, gateway) in self.gateways.iter().enumerate().filter(|(_, g)| g.is_running) {
            let name = &self.settings.zones[gateway.zone].name;
            let limits = match gateway.reader.validity(at(now)) {
                Validity::Valid(decision) => GatewayLimits::for_gateway(&decision.body, name, demand[g]),
                _ => None,
            };
            for to in 0..zone_count {
                let units = match &limits {
                    Some(limits) => {
                        let share = limits.shares[to].1 * demand[g];
                        let max_rate =
                            limits.max_rates.iter().find(|(zone, _)| *zone == self.settings.zones[to].name);
                        let units = max_rate.map_or(share, |(_, max_rate)| share.min(*max_rate));
                        if to != gateway.zone {
                            from_other_zones[to] += units;
                        }
                        units
                    }
                    None if to == gateway.zone => demand[g],
                    None => 0.0,
                };
                sent[g][to] = units;
                total[to] += units;
            }
        }
        // A zone never gets more from other zones than its capacity times the allowed growth.
        for (zone, sent) in from_other_zones.iter().enumerate() {
            let max = self.servers[zone] * self.server_capacity * MAX_DEMAND_GROWTH;
            assert!(
                *sent <= max + 1e-6,
                "{:?} at {now} ms: other zones send {sent} to zone {zone}, more than {max}",
                self.fault
            );
        }
        let tick_seconds = TICK_MS as f64 / 1000.0;
        for (g, row) in sent.iter().enumerate() {
            let zone = self.gateways[g].zone;
            self.requested += demand[g] * tick_seconds;
            for to in 0..zone_count {
                let units = row[to] * tick_seconds;
                let is_unreachable = self.is_unreachable(zone, to);
                let served_fraction = (self.capacity(to) / total[to].max(1e-9)).min(1.0);
                let attempts = &mut self.gateways[g].attempts[to];
                if is_unreachable {
                    attempts.connect_failed += units;
                } else {
                    attempts.served += units * served_fraction;
                    attempts.rejected += units * (1.0 - served_fraction);
                    self.served += units * served_fraction;
                    self.served_in_local_zone += if to == zone { units * served_fraction } else { 0.0 };
                }
            }
        }
        self.send_reports(&demand);
        let (arrived, in_flight): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reports).into_iter().partition(|(arrives_at, _)| *arrives_at <= now);
        self.reports = in_flight;
        for (_, report) in arrived {
            assert_eq!(self.controller.handle_report(at(now), &report), Ok(()));
        }
        if now.is_multiple_of(200) && self.fault != Some(Fault::OwnerReplaced)
            || now > self.fault_since + 2000
        {
            self.decide();
        }
    }

    fn send_reports(&mut self, demand: &[f64]) {
        let (now, zone_count) = (self.now, self.zone_count());
        for (g, &demand) in demand.iter().enumerate() {
            let is_partitioned = self.fault == Some(Fault::ControlPartition(self.gateways[g].zone));
            if now < self.gateways[g].next_report_at || !self.gateways[g].is_running {
                continue;
            }
            self.gateways[g].next_report_at += 1000;
            let span = now - self.gateways[g].last_report_at;
            self.gateways[g].last_report_at = now;
            self.gateways[g].sequence += 1;
            let attempts =
                std::mem::replace(&mut self.gateways[g].attempts, vec![AttemptCounts::default(); zone_count]);
            let zones = attempts.into_iter().enumerate().map(|(z, attempts)| {
                // Servers that are unreachable stay listed. Only `Fault::ZoneLost` removes them.
                let is_listed = !matches!(self.fault, Some(Fault::ZoneLost(lost)) if lost == z);
                let servers = if is_listed { self.servers[z] } else { 0.0 };
                ZoneObservation {
                    zone: self.settings.zones[z].name.clone(),
                    attempts,
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
                requested_units: demand,
                zones: zones.collect(),
                demand: Demand::default(),
                applied_decisions: AppliedDecisions::default(),
            };
            let is_lost = is_partitioned || self.rng.random::<f64>() < self.loss_rate;
            let copies = if is_lost { 0 } else { 1 + usize::from(self.rng.random::<f64>() < self.loss_rate) };
            for _ in 0..copies {
                let max_delay = if self.rng.random::<f64>() < self.loss_rate { 1500 } else { 100 };
                self.reports.push((now + self.rng.random_range(0..=max_delay), report.clone()));
            }
        }
    }

    fn decide(&mut self) {
        let now = self.now;
        let Some(body) = self.controller.tick(at(now)) else { return };
        assert!(
            body.zones
                .iter()
                .any(|zone| !matches!(zone.state, ZoneState::FailedOver | ZoneState::HeldByOperator)),
            "{:?}: no zone is in service at {now} ms: {body:?}",
            self.fault
        );
        for to in 0..self.zone_count() {
            let sent: f64 = body.zones.iter().map(|from| from.shares[to] * from.demand).sum();
            let capacity = body.zones[to].capacity;
            assert!(
                sent <= capacity * (1.0 + 1e-6) + 1e-6,
                "{:?}: the decision sends {sent} to a zone with a capacity of {capacity}",
                self.fault
            );
        }
        for change in self
            .controller
            .take_state_changes()
            .into_iter()
            .filter(|change| change.to == ZoneState::FailedOver)
        {
            self.failover_count += 1;
            self.failed_over_zones.insert(change.zone);
        }
        self.stamp.revision += 1;
        self.last_decision = Some(body.clone());
        let decision = Decision { stamp: self.stamp, valid_ms: DECISION_TTL_MS, body };
        for g in 0..self.gateways.len() {
            let zone = self.gateways[g].zone;
            if self.gateways[g].is_running && self.fault != Some(Fault::ControlPartition(zone)) {
                let arrives_at = now + self.rng.random_range(20..300);
                self.decisions.push((arrives_at, g, decision.clone()));
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.step();
        }
    }

    /// Runs for `ms`, and returns the fraction of the requested units that was served.
    fn served_fraction(&mut self, ms: u64) -> f64 {
        (self.served, self.requested, self.served_in_local_zone) = (0.0, 0.0, 0.0);
        self.run(ms);
        self.served / self.requested
    }

    /// Returns the maximum of that fraction: the capacity of all zones whose servers are not lost, relative
    /// to the demand.
    fn max_served_fraction(&self) -> f64 {
        let is_up =
            |z: usize| !matches!(self.fault, Some(Fault::ServersLost(l) | Fault::ZoneLost(l)) if l == z);
        let capacity: f64 = (0..self.zone_count()).filter(|&z| is_up(z)).map(|z| self.capacity(z)).sum();
        (capacity / self.demand.iter().sum::<f64>()).min(1.0)
    }

    fn states(&self) -> Vec<ZoneState> {
        let decision = self.last_decision.as_ref().expect("a decision");
        decision.zones.iter().map(|zone| zone.state).collect()
    }
}

fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let count = std::env::var("ZONES_SEEDS").ok().and_then(|n| n.parse().ok());
    0..count.unwrap_or(default_count)
}

/// Each fault on fleets of every size. Each step checks that no zone is overloaded, that a zone stays in
/// service, and that no reader returns to an older decision. This test checks the served fraction and the
/// states during and after the fault.
#[test]
fn zones_fail_over_and_return_on_fleets_of_every_size() {
    for (gateways, default_seeds) in [(3, 40), (30, 40), (300, 6), (3000, 1)] {
        for seed in seeds(default_seeds).take(if gateways > 300 { 20 } else { usize::MAX }) {
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
            let zones = if gateways == 3 { 3 } else { rng.random_range(3..6) };
            let regions = rng.random_range(1..3);
            let z = rng.random_range(0..zones);
            let faults = [
                Fault::ServersLost(z),
                Fault::Partition(z),
                Fault::Slow(z),
                Fault::Flapping(z),
                Fault::AllUnreachable,
                Fault::ZoneLost(z),
                Fault::OwnerReplaced,
                Fault::ControlPartition(z),
            ];
            let fault = faults[seed as usize % faults.len()];
            let mut fleet = SimulatedFleet::new(seed, gateways, zones, regions, rng.random_range(0.3..0.75));
            fleet.loss_rate = if seed % 3 == 0 { 0.1 } else { 0.0 };
            fleet.run(5000);
            let before = fleet.served_fraction(5000);
            let case = format!("seed {seed}, {gateways} gateways, {zones} zones, {fault:?}");
            assert!(before > 0.97, "{case}: {before} served before the fault");
            assert!(
                fleet.served_in_local_zone / fleet.served > 0.95,
                "{case}: {} served in their own zone",
                fleet.served_in_local_zone / fleet.served
            );
            fleet.begin_fault(fault);
            // A failover takes one report per second, evidence that lasts for 900 ms, and the delay of the
            // decision. If a zone has only one gateway, that gateway must first be served in another zone.
            fleet.run(if gateways == 3 { 8000 } else { 3000 });
            let during = fleet.served_fraction(4000);
            if matches!(fault, Fault::ServersLost(_) | Fault::ZoneLost(_)) && fleet.loss_rate == 0.0 {
                let max = fleet.max_served_fraction();
                assert!(during >= 0.95 * max, "{case}: {during} of {max} served during the fault");
            }
            if fault == Fault::AllUnreachable {
                assert!(
                    fleet.states().iter().all(|s| *s != ZoneState::FailedOver),
                    "{case}: {:?}",
                    fleet.states()
                );
            }
            if matches!(fault, Fault::OwnerReplaced | Fault::ControlPartition(_)) {
                assert!(
                    during > 0.97 && fleet.failover_count == 0,
                    "{case}: {during} served during the fault, {} failovers",
                    fleet.failover_count
                );
            }
            let failovers_during = fleet.failover_count;
            fleet.run(8000);
            fleet.end_fault();
            // Wait for the failover time and the slow start. The failover time is longer for a zone that has
            // flapped for 16 s.
            fleet.run(if matches!(fault, Fault::Flapping(_)) { 60_000 } else { 25_000 });
            let after = fleet.served_fraction(5000);
            assert!(after > 0.97, "{case}: {after} served after the fault, {:?}", fleet.states());
            assert!(fleet.states().iter().all(|s| *s == ZoneState::Serving), "{case}: {:?}", fleet.states());
            assert!(
                failovers_during <= 3 && fleet.failover_count <= 5,
                "{case}: {} failovers",
                fleet.failover_count
            );
        }
    }
}

/// The other zones have capacity for less than half of the demand of a lost zone. They must get no more than
/// their capacity, so that none of them fails over too.
#[test]
fn a_failover_never_causes_the_failover_of_another_zone() {
    for seed in seeds(20) {
        let mut fleet = SimulatedFleet::new(seed, 30, 3, 1, 0.85);
        fleet.run(5000);
        fleet.begin_fault(Fault::ServersLost(1));
        fleet.run(4000);
        let during = fleet.served_fraction(3000);
        let max = fleet.max_served_fraction();
        assert!(during >= 0.95 * max, "seed {seed}: {during} of {max} served");
        assert_eq!(
            fleet.failed_over_zones,
            BTreeSet::from(["hall-1".to_owned()]),
            "seed {seed}: zones that failed over"
        );
        // The demand triples. Each step checks that traffic to other zones stays limited before the next
        // decision.
        fleet.demand.iter_mut().for_each(|demand| *demand *= 3.0);
        fleet.run(2000);
    }
}

/// One gateway reports values that are 1000 times too high, and failures of a healthy zone. The decision must
/// be almost the same as with correct values.
#[test]
fn wrong_values_of_one_gateway_have_little_influence() {
    for seed in seeds(20) {
        let mut fleets = [SimulatedFleet::new(seed, 30, 3, 1, 0.6), SimulatedFleet::new(seed, 30, 3, 1, 0.6)];
        for (is_wrong, fleet) in fleets.iter_mut().enumerate() {
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
            let served = |scale: f64| AttemptCounts { served: 20.0 * scale, ..AttemptCounts::default() };
            let excess = is_wrong as f64;
            report.requested_units *= 1.0 + 999.0 * excess;
            for z in 0..3 {
                let failed = AttemptCounts { failed: 20_000.0, ..AttemptCounts::default() };
                let attempts = if is_wrong == 1 && z == 2 { failed } else { served(1.0) };
                let servers = fleet.servers[z] * (1.0 + 999.0 * excess);
                report.zones.push(ZoneObservation {
                    zone: format!("hall-{z}"),
                    attempts,
                    servers,
                    warm: servers,
                });
            }
            fleet.controller.handle_report(at(fleet.now), &report).expect("a valid report");
            fleet.now += 2000;
            fleet
                .controller
                .handle_report(at(fleet.now), &Report { sequence: u64::MAX, ..report })
                .expect("a valid report");
            let decision = fleet.controller.tick(at(fleet.now));
            fleet.last_decision = decision.or(fleet.last_decision.take());
        }
        let [correct, wrong] = fleets.map(|fleet| fleet.last_decision.expect("a decision"));
        for (a, b) in correct.zones.iter().zip(&wrong.zones) {
            assert_eq!(a.state, b.state, "seed {seed}");
            assert!(
                (a.capacity - b.capacity).abs() < 0.01 * a.capacity,
                "seed {seed}: capacities {} and {}",
                a.capacity,
                b.capacity
            );
            // The demand of a gateway is clipped at eight times the mean of the others.
            let mean = correct.zones.iter().map(|zone| zone.demand).sum::<f64>() / 30.0;
            assert!(b.demand <= a.demand + 8.5 * mean, "seed {seed}: demands {} and {}", a.demand, b.demand);
        }
    }
}

#[test]
fn the_same_inputs_give_the_same_decision() {
    let decide = || {
        let mut fleet = SimulatedFleet::new(3, 30, 4, 2, 0.6);
        fleet.run(6000);
        fleet.begin_fault(Fault::ServersLost(0));
        fleet.run(5000);
        serde_json::to_vec(&fleet.last_decision).expect("JSON")
    };
    assert_eq!(decide(), decide());
}
