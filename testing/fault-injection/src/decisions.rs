//! Checks and figures of the controllers' decisions, based on the history alone: no gateway reverts to an
//! older decision, none is published under an older token, and no zone receives more from other zones than
//! its capacity. Shares and shards have modules of their own.

mod shards;
mod shares;

use crate::checker::Finding;
use crate::deployment::{Nanos, MS, SECOND};
use crate::endpoint::Endpoint;
use crate::history::{DecisionKind, Event, Outcome, ProcessChange, Setup, TimedEvent, Trace, ZoneState};
use std::collections::{BTreeMap, HashMap};

/// The invariants that are checked here.
pub const INVARIANTS: [&str; 8] = [
    "decision_never_back",
    "decision_fenced",
    "zone_never_overloaded",
    "shares_within_capacity",
    "share_floor",
    "no_write_to_moved_range",
    "written_once",
    "nothing_lost_in_moves",
];
/// The invariants of zones and of all decisions.
const ZONE_INVARIANTS: [&str; 3] = ["decision_never_back", "decision_fenced", "zone_never_overloaded"];

/// The violated and inapplicable invariants, with the first cases of each.
#[derive(Default)]
pub struct Violations(BTreeMap<&'static str, Finding>);

impl Violations {
    fn add(&mut self, name: &'static str, case: impl FnOnce() -> String) {
        let finding = self.0.entry(name).or_default();
        finding.holds = Some(false);
        finding.cases += 1;
        if finding.why.len() < MAX_CASES {
            finding.why.push(case());
        }
    }

    fn does_not_apply(&mut self, name: &'static str, why: &str) {
        self.0.insert(name, Finding { holds: None, why: vec![why.to_owned()], cases: 0 });
    }
}

/// Share by which the requests from other zones may exceed a zone's decided capacity: demand may grow by it
/// before a gateway limits what it sends to other zones.
const SLACK_SHARE: f64 = 0.25;
/// Factor of the allowance for random variation in the requests of a second, which is this factor times the
/// square root of the capacity, plus the factor itself.
const CHANCE_ROOTS: f64 = 4.0;
/// Time for which gateways may still apply a decision after the next one was published.
const MAX_DECISION_LAG: Nanos = 3 * SECOND;
/// Maximum number of reported cases of one invariant.
const MAX_CASES: usize = 5;

/// Figures of decisions; `None` where they do not apply.
#[derive(Clone, Debug, Default)]
pub struct DecisionFigures {
    /// The share of attempts that went to a pay server of the gateway's own zone.
    pub same_zone_share: Option<f64>,
    /// Time from the start of the first fault to the first decision that fails a zone over, in milliseconds.
    pub time_to_failover_ms: Option<u64>,
    /// Time from the end of the last fault to the first decision with all zones serving, in milliseconds.
    pub time_to_return_ms: Option<u64>,
    /// Number of decisions that were refused because they came too late.
    pub late_decisions_refused: Option<u64>,
    /// Figures of the shares.
    pub shares: shares::ShareFigures,
    /// Figures of the shards.
    pub shards: shards::ShardFigures,
}

/// Checks the decisions in a history.
#[derive(Default)]
pub struct DecisionChecker {
    setup: Option<Box<Setup>>,
    violations: Violations,
    shares: shares::ShareChecker,
    shards: shards::ShardChecker,
    /// Token and revision of the decision that a gateway last applied since its process was started, by
    /// gateway and kind of decision.
    applied: HashMap<(u16, DecisionKind), (u64, u64)>,
    /// Token and revision of the last published decision of each kind.
    last: BTreeMap<DecisionKind, (u64, u64)>,
    /// The decided capacities of each zone, and the times of the decisions.
    capacities: Vec<Vec<(Nanos, f64)>>,
    /// Number of arrivals at each zone from other zones, by second.
    cross_zone: HashMap<(usize, u64), u64>,
    traces: HashMap<Trace, u32>,
    same_zone: u64,
    sends: u64,
    states: Vec<ZoneState>,
    failover_at: Option<Nanos>,
    return_at: Option<Nanos>,
    first_fault_at: Option<Nanos>,
    last_fault_end: Option<Nanos>,
    refused: u64,
}

fn seconds(at: Nanos) -> f64 {
    at as f64 / SECOND as f64
}

impl DecisionChecker {
    fn zones(&self) -> usize {
        self.setup.as_ref().map_or(1, |setup| setup.zones.len().max(1))
    }

    /// Observes the next event.
    pub fn take(&mut self, all: &TimedEvent) {
        let TimedEvent { at, event } = all;
        let at = *at;
        match event {
            Event::Setup(setup) => {
                self.shares.begin(setup);
                self.shards.begin(setup);
                self.capacities = vec![Vec::new(); setup.zones.len()];
                self.setup = Some(setup.clone());
            }
            Event::ZonesDecided { token, revision, zones } => {
                self.published(at, DecisionKind::Zones, (*token, *revision));
                self.decided(at, zones);
            }
            Event::SharesDecided { token, revision, .. } => {
                self.published(at, DecisionKind::Shares, (*token, *revision));
            }
            Event::ShardMapDecided { token, revision, .. } => {
                self.published(at, DecisionKind::ShardMap, (*token, *revision));
            }
            Event::DecisionApplied { gateway, kind, token, revision } => {
                let now = (*token, *revision);
                let before = self.applied.insert((*gateway, *kind), now);
                if let Some(before) = before.filter(|before| *before > now) {
                    self.violations.add("decision_never_back", || {
                        format!(
                            "gateways[{gateway}] went back from {before:?} to {now:?} of {kind:?} at {:.3} s",
                            seconds(at)
                        )
                    });
                }
            }
            Event::DecisionRefused { .. } => self.refused += 1,
            Event::ProcessChanged {
                endpoint: Endpoint::Gateway(gateway),
                change: ProcessChange::Started,
            } => {
                self.applied.retain(|(of, _), _| of != gateway);
            }
            Event::Arrived { server, gateway, trace, .. } => self.arrived(at, *server, *gateway, *trace),
            Event::AttemptEnded { trace, outcome: Outcome::Served { .. } } => drop(self.traces.remove(trace)),
            Event::FaultBegan { .. } => drop(self.first_fault_at.get_or_insert(at)),
            Event::FaultEnded { .. } => self.last_fault_end = Some(at),
            _ => {}
        }
        self.shares.take(all);
        self.shards.take(all, &mut self.violations);
    }

    fn published(&mut self, at: Nanos, kind: DecisionKind, now: (u64, u64)) {
        if let Some(before) = self.last.insert(kind, now).filter(|before| *before > now) {
            self.violations.add("decision_fenced", || {
                format!("{now:?} of {kind:?} was published after {before:?}, at {:.3} s", seconds(at))
            });
        }
    }

    fn decided(&mut self, at: Nanos, zones: &[(ZoneState, f64)]) {
        for (capacities, (_, units)) in self.capacities.iter_mut().zip(zones) {
            capacities.push((at, *units));
        }
        self.states = zones.iter().map(|(state, _)| *state).collect();
        let out = self.states.contains(&ZoneState::FailedOver);
        if out && self.first_fault_at.is_some() {
            self.failover_at.get_or_insert(at);
        }
        let all_serve = self.states.iter().all(|state| *state == ZoneState::Serving);
        if all_serve && self.failover_at.is_some() && self.last_fault_end.is_some() {
            self.return_at.get_or_insert(at);
        }
    }

    fn arrived(&mut self, at: Nanos, server: u16, gateway: u16, trace: Trace) {
        let n = self.zones();
        let (from, to) = (usize::from(gateway) % n, usize::from(server) % n);
        self.sends += 1;
        self.same_zone += u64::from(from == to);
        // Only first attempts count: repeated attempts are not limited by the decided capacities.
        let attempts = self.traces.entry(trace).or_default();
        *attempts += 1;
        if *attempts == 1 && from != to && !self.capacities.iter().all(Vec::is_empty) {
            *self.cross_zone.entry((to, at / SECOND)).or_default() += 1;
        }
    }

    /// Returns the highest capacity of a zone in any decision that gateways may have applied in a second.
    fn max_capacity(&self, zone: usize, second: u64) -> Option<f64> {
        let (from, to) = ((second * SECOND).saturating_sub(MAX_DECISION_LAG), (second + 1) * SECOND);
        let all = self.capacities.get(zone)?;
        let first = all.partition_point(|(at, _)| *at < from).saturating_sub(1);
        all[first.min(all.len())..]
            .iter()
            .take_while(|(at, _)| *at < to)
            .map(|(_, units)| *units)
            .reduce(f64::max)
    }

    /// Returns the findings on the invariants, and the figures.
    pub fn findings(mut self) -> (BTreeMap<&'static str, Finding>, DecisionFigures) {
        let controllers = self.setup.as_ref().map_or(0, |setup| setup.controllers);
        let over: Vec<(usize, u64, u64, f64)> = self
            .cross_zone
            .iter()
            .filter_map(|((zone, second), sent)| {
                let capacity = self.max_capacity(*zone, *second)?;
                let max_sent = capacity * (1.0 + SLACK_SHARE) + CHANCE_ROOTS * capacity.sqrt() + CHANCE_ROOTS;
                (*sent as f64 > max_sent).then_some((*zone, *second, *sent, capacity))
            })
            .collect();
        for (zone, second, sent, capacity) in over {
            self.violations.add("zone_never_overloaded", || {
                format!("zone {zone} has a capacity of {capacity:.1} a second and received {sent} from other zones in second {second}")
            });
        }
        if controllers == 0 {
            ZONE_INVARIANTS
                .into_iter()
                .for_each(|name| self.violations.does_not_apply(name, "the fleet has no stewards"));
        }
        let shares = std::mem::take(&mut self.shares).findings(&mut self.violations);
        let shards = std::mem::take(&mut self.shards).findings(&mut self.violations);
        for name in INVARIANTS {
            self.violations.0.entry(name).or_insert(Finding { holds: Some(true), ..Finding::default() });
        }
        let since = |to: Option<Nanos>, from: Option<Nanos>| Some(to?.saturating_sub(from?) / MS);
        let decides = controllers > 0;
        let figures = DecisionFigures {
            same_zone_share: (self.sends > 0 && self.zones() > 1)
                .then(|| self.same_zone as f64 / self.sends as f64),
            time_to_failover_ms: since(self.failover_at, self.first_fault_at),
            time_to_return_ms: since(self.return_at, self.last_fault_end),
            late_decisions_refused: decides.then_some(self.refused),
            shares,
            shards,
        };
        (self.violations.0, figures)
    }
}
