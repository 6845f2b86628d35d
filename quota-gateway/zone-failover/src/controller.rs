//! The controller: takes reports and operator commands, and returns state changes and decisions. A new owner
//! of the role resumes from the last decision of its predecessor.

use crate::allocation::{allocate, Load};
use crate::capacity::ServerCapacity;
use crate::decision::{ZoneDecision, ZoneState, ZonesDecision};
use crate::evidence::Evidence;
use crate::settings::Settings;
use crate::verdict::{assess, Verdict};
use crate::zone::Zone;
use marblecroft_control_messages::frame::DecodeError;
use marblecroft_control_messages::published::Instant;
use marblecroft_control_messages::report::Report;
use std::time::Duration;

/// Changes of fractions up to this size are not published before [`MAX_DECISION_INTERVAL`] has passed.
const MIN_SHARE_CHANGE: f64 = 0.01;
/// Time after which a decision is published even without a significant change, so that slowly rising
/// capacities are published too.
const MAX_DECISION_INTERVAL: Duration = Duration::from_secs(2);
/// The open capacity of a returning zone is scaled from its demand, but at least from this fraction of its
/// capacity, because its clients may have moved to other zones.
const MIN_RETURN_FRACTION: f64 = 0.25;
/// Number of servers that a zone is assumed to have before the first reports. Too many is safe, because the
/// capacity per server is then underestimated.
const ASSUMED_SERVERS: f64 = 64.0;

/// An operator's command on a zone, with the name of the zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Take it out of service.
    Hold(String),
    /// Begin its return.
    Return(String),
}

/// A change of a zone's state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// Name of the zone.
    pub zone: String,
    /// The former state.
    pub from: ZoneState,
    /// The new state.
    pub to: ZoneState,
}

/// The controller of one owner.
pub struct FailoverController {
    settings: Settings,
    started_at: Instant,
    evidence: Evidence,
    zones: Vec<Zone>,
    server_capacities: Vec<ServerCapacity>,
    /// Time of the last failover of a region, and the name of the region. A region fails over with its last
    /// zone.
    last_region_failover: Option<(Instant, String)>,
    last_decision: Option<(Instant, ZonesDecision)>,
    state_changes: Vec<StateChange>,
    rejected_failovers: u64,
}

impl FailoverController {
    /// Creates a controller that resumes from the `published` decision, if there is one. Zones keep their
    /// states, but the times in these states start again, as this owner has not observed anything yet.
    pub fn new(settings: Settings, now: Instant, published: Option<&ZonesDecision>) -> FailoverController {
        let decided = |name: &str| published.and_then(|decision| decision.zone(name));
        let zones = settings.zones.iter().map(|zone| {
            let decided = decided(&zone.name);
            let state = decided.map_or(ZoneState::Serving, |zone| zone.state);
            Zone::new(now, state, decided.map_or(0, |zone| zone.flap_count))
        });
        let server_capacities = settings.zones.iter().map(|zone| {
            let capacity = decided(&zone.name).map_or(0.0, |zone| zone.capacity.max(0.0));
            ServerCapacity::from_peak(capacity / ASSUMED_SERVERS, now)
        });
        FailoverController {
            started_at: now,
            evidence: Evidence::default(),
            zones: zones.collect(),
            server_capacities: server_capacities.collect(),
            last_region_failover: None,
            last_decision: published.map(|decision| (now, decision.clone())),
            state_changes: Vec::new(),
            rejected_failovers: 0,
            settings,
        }
    }

    /// Handles the report of a gateway; a stale one has no effect.
    ///
    /// # Errors
    ///
    /// As [`Evidence::handle_report`].
    pub fn handle_report(&mut self, now: Instant, report: &Report) -> Result<(), DecodeError> {
        self.evidence.handle_report(now, &self.settings, report)
    }

    /// Applies an operator's command. Returns false if there is no zone with this name.
    pub fn on_operator_command(&mut self, now: Instant, command: &OperatorCommand) -> bool {
        let (OperatorCommand::Hold(name) | OperatorCommand::Return(name)) = command;
        let Some(zone) = self.settings.zone_index(name) else { return false };
        let from = self.zones[zone].state;
        match command {
            OperatorCommand::Hold(_) => self.zones[zone].hold_by_operator(now),
            OperatorCommand::Return(_) => self.zones[zone].return_by_operator(now),
        }
        self.record_state_change(zone, from);
        true
    }

    fn record_state_change(&mut self, zone: usize, from: ZoneState) {
        let to = self.zones[zone].state;
        if from != to {
            self.state_changes.push(StateChange { zone: self.settings.zones[zone].name.clone(), from, to });
        }
    }

    /// Returns the state changes since the last call.
    pub fn take_state_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.state_changes)
    }

    /// Returns the state of a zone.
    pub fn state(&self, zone: &str) -> Option<ZoneState> {
        self.settings.zone_index(zone).map(|zone| self.zones[zone].state)
    }

    /// Returns the names of the zones that an operator took out of service.
    pub fn held_zones(&self) -> Vec<String> {
        let zones = self.settings.zones.iter().zip(&self.zones);
        let held = zones.filter(|(_, zone)| zone.state == ZoneState::HeldByOperator);
        held.map(|(settings, _)| settings.name.clone()).collect()
    }

    /// Returns the number of rejected failovers. A failover is rejected if no other zone accepts traffic, or
    /// if another region has just failed over.
    pub fn rejected_failovers(&self) -> u64 {
        self.rejected_failovers
    }

    /// Updates the states of all zones, and returns the decision to publish. `None` while the controller only
    /// observes, while no gateway reports, or if the last decision differs too little.
    pub fn tick(&mut self, now: Instant) -> Option<ZonesDecision> {
        self.evidence.expire(now, &self.settings);
        let is_observing = now.saturating_sub(self.started_at) < self.settings.observation_time();
        if is_observing || self.evidence.gateway_count() == 0 {
            return None;
        }
        let accepting_zones = self.zones.iter().filter(|zone| zone.state.accepts_traffic()).count();
        let verdicts = assess(&self.evidence, self.zones.len(), accepting_zones);
        for (zone, verdict) in verdicts.into_iter().enumerate() {
            self.apply_verdict(now, zone, verdict);
        }
        let decision = self.decide(now);
        let must_publish = self.last_decision.as_ref().is_none_or(|(decided_at, last)| {
            now.saturating_sub(*decided_at) >= MAX_DECISION_INTERVAL || is_significant_change(last, &decision)
        });
        if !must_publish {
            return None;
        }
        self.last_decision = Some((now, decision.clone()));
        Some(decision)
    }

    fn apply_verdict(&mut self, now: Instant, zone: usize, verdict: Verdict) {
        let may_fail_over = self.may_fail_over(now, zone);
        let has_servers = self.evidence.servers(zone).listed > 0.0;
        let from = self.zones[zone].state;
        self.zones[zone].apply_verdict(now, &self.settings, verdict, may_fail_over, has_servers);
        if from != ZoneState::FailedOver && self.zones[zone].state == ZoneState::FailedOver {
            if !self.has_other_zone_in_region(zone) {
                self.last_region_failover = Some((now, self.settings.zones[zone].region.clone()));
            }
        } else if !may_fail_over && verdict.is_lost() {
            self.rejected_failovers += 1;
        }
        self.record_state_change(zone, from);
    }

    /// Returns whether a zone may fail over. Another zone must accept traffic, and if the zone is the last of
    /// its region, no other region may have failed over recently.
    fn may_fail_over(&self, now: Instant, zone: usize) -> bool {
        let region = &self.settings.zones[zone].region;
        let is_last_of_region = !self.has_other_zone_in_region(zone);
        let has_other_regions = self.settings.zones.iter().any(|other| other.region != *region);
        let has_recent_region_failover =
            self.last_region_failover.as_ref().is_some_and(|(failed_over_at, failed_over)| {
                failed_over != region
                    && now.saturating_sub(*failed_over_at) < self.settings.region_failover_interval()
            });
        let has_other_zone = self.other_accepting_zones(zone).next().is_some();
        has_other_zone && !(has_other_regions && is_last_of_region && has_recent_region_failover)
    }

    /// Returns the zones other than this one that accept traffic.
    fn other_accepting_zones(&self, zone: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.zones.len()).filter(move |&other| other != zone && self.zones[other].state.accepts_traffic())
    }

    fn has_other_zone_in_region(&self, zone: usize) -> bool {
        self.other_accepting_zones(zone).any(|other| self.settings.is_same_region(zone, other))
    }

    fn decide(&mut self, now: Instant) -> ZonesDecision {
        let capacities: Vec<f64> =
            (0..self.zones.len()).map(|zone| self.estimate_capacity(now, zone)).collect();
        let load = self.load(now, &capacities);
        let shares = allocate(&self.settings, &load);
        let zones = shares.into_iter().enumerate().map(|(zone, shares)| ZoneDecision {
            name: self.settings.zones[zone].name.clone(),
            state: self.zones[zone].state,
            flap_count: self.zones[zone].flap_count,
            capacity: capacities[zone],
            demand: load.demand[zone],
            gateways: self.evidence.gateway_count_of(zone),
            shares,
        });
        ZonesDecision { zones: zones.collect() }
    }

    /// Returns the capacity of a zone in units per second: its warm servers times the capacity of one.
    fn estimate_capacity(&mut self, now: Instant, zone: usize) -> f64 {
        let warm_servers = self.evidence.servers(zone).warm;
        let is_overloaded = self.is_overloaded(zone);
        let served = self.evidence.served(zone);
        let server_capacity = &mut self.server_capacities[zone];
        server_capacity.observe(now, served, warm_servers, is_overloaded);
        warm_servers * server_capacity.estimate(self.settings.server_capacity, is_overloaded)
    }

    /// Returns whether more than half of the votes are that a zone is overloaded.
    fn is_overloaded(&self, zone: usize) -> bool {
        let (mut votes, mut overloaded) = (0.0, 0.0);
        for from in 0..self.zones.len() {
            let opinion = self.evidence.opinion(from, zone);
            votes += opinion.votes();
            overloaded += opinion.overloaded;
        }
        2.0 * overloaded > votes
    }

    fn load(&self, now: Instant, capacities: &[f64]) -> Load {
        let zones = 0..self.zones.len();
        let demand: Vec<f64> = zones.clone().map(|zone| self.evidence.demand(zone)).collect();
        let is_partitioned =
            |from: usize, to: usize| from != to && self.evidence.opinion(from, to).is_against();
        Load {
            capacity: zones
                .clone()
                .map(|zone| self.open_capacity(now, zone, capacities[zone], demand[zone]))
                .collect(),
            demand,
            accepts_traffic: self.zones.iter().map(|zone| zone.state.accepts_traffic()).collect(),
            accepts_probes: self
                .zones
                .iter()
                .map(|zone| zone.state.accepts_traffic() || zone.state == ZoneState::Suspect)
                .collect(),
            is_suspect: self.zones.iter().map(|zone| zone.state == ZoneState::Suspect).collect(),
            is_partitioned: zones
                .clone()
                .map(|from| zones.clone().map(|to| is_partitioned(from, to)).collect())
                .collect(),
        }
    }

    /// Returns the capacity of a zone that is open to traffic, in units per second. For a returning zone
    /// whose demand is below its capacity this is a fraction of the demand, because the same fraction of the
    /// capacity may be most of the demand, which would be lost if the zone still fails.
    fn open_capacity(&self, now: Instant, zone: usize, capacity: f64, demand: f64) -> f64 {
        let open_fraction = self.zones[zone].open_fraction(now, &self.settings);
        if self.zones[zone].state == ZoneState::Returning {
            open_fraction * capacity.min(demand.max(MIN_RETURN_FRACTION * capacity))
        } else {
            open_fraction * capacity
        }
    }
}

/// Returns whether a new decision differs enough from the last one to be published immediately.
fn is_significant_change(last: &ZonesDecision, new: &ZonesDecision) -> bool {
    let is_far = |a: &[f64], b: &[f64]| a.iter().zip(b).any(|(a, b)| (a - b).abs() > MIN_SHARE_CHANGE);
    last.zones.len() != new.zones.len()
        || last.zones.iter().zip(&new.zones).any(|(a, b)| a.state != b.state || is_far(&a.shares, &b.shares))
}
