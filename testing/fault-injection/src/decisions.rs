//! Decisions made in common, judged on a history alone: that none goes back, that none is published under an older token, that no
//! zone is sent more from elsewhere than it bears; shares and books in modules of their own; and what they come to in figures.

mod shards;
mod shares;

use crate::checker::Finding;
use crate::deployment::{Nanos, MS, SECOND};
use crate::endpoint::End;
use crate::history::{DecisionKind, Event, Outcome, ProcessChange, Setup, TimedEvent, Trace, ZoneState};
use std::collections::{BTreeMap, HashMap};

/// The invariants that are judged here.
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
/// Those that are of zones, or of all decisions.
const ZONE_INVARIANTS: [&str; 3] = ["decision_never_back", "decision_fenced", "zone_never_overloaded"];

/// What is broken, with the first cases of each.
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

/// What is sent to a zone from elsewhere may pass what it was decided to bear by this share: demand may grow by it before a
/// gateway cuts what goes abroad ...
const SLACK_SHARE: f64 = 0.25;
/// ... and by chance by so many roots of it, and so many requests.
const CHANCE_ROOTS: f64 = 4.0;
/// A decision that was followed by another one may still be gone by for this long.
const MAX_DECISION_LAG: Nanos = 3 * SECOND;
const MAX_CASES: usize = 5;

/// Figures of decisions; null where they do not apply.
#[derive(Clone, Debug, Default)]
pub struct DecisionFigures {
    /// The share of attempts that went to a pay server of the gateway's own zone.
    pub near_share: Option<f64>,
    /// Time from the first fault's begin to the first decision that has a zone out, in milliseconds.
    pub time_to_failover_ms: Option<u64>,
    /// Time from the last fault's end to the first decision that has all zones serve again, in milliseconds.
    pub time_to_return_ms: Option<u64>,
    /// Decisions under older tokens that were rejected.
    pub late_decisions_refused: Option<u64>,
    /// Figures of the shares.
    pub shares: shares::ShareFigures,
    /// Figures of the shards.
    pub shards: shards::ShardFigures,
}

/// Checks what is decided in common.
#[derive(Default)]
pub struct DecisionChecker {
    setup: Option<Box<Setup>>,
    violations: Violations,
    shares: shares::ShareChecker,
    shards: shards::ShardChecker,
    /// Which decision of each duty each gateway goes by, in one life of its process.
    applied: HashMap<(u16, DecisionKind), (u64, u64)>,
    last: BTreeMap<DecisionKind, (u64, u64)>,
    /// What each zone was decided to bear, and when.
    capacities: Vec<Vec<(Nanos, f64)>>,
    /// Arrivals at each zone from elsewhere, by second.
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
                self.published(at, DecisionKind::Books, (*token, *revision));
            }
            Event::DecisionApplied { gateway, kind, token, revision } => {
                let now = (*token, *revision);
                let before = self.applied.insert((*gateway, *kind), now);
                if let Some(before) = before.filter(|before| *before > now) {
                    self.violations.add("decision_never_back", || {
                        format!(
                            "gateways[{gateway}] went from {before:?} to {now:?} of {kind:?} at {:.3} s",
                            seconds(at)
                        )
                    });
                }
            }
            Event::DecisionRefused { .. } => self.refused += 1,
            Event::ProcessChanged { end: End::Gateway(gateway), change: ProcessChange::Started } => {
                self.applied.retain(|(of, _), _| of != gateway);
            }
            Event::Arrived { server, gateway, trace, .. } => self.arrived(at, *server, *gateway, *trace),
            Event::TryEnded { trace, outcome: Outcome::Served { .. } } => drop(self.traces.remove(trace)),
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
        let out = self.states.contains(&ZoneState::Out);
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
        // A repeat goes wherever anything may go; a decision shares out first attempts.
        let tries = self.traces.entry(trace).or_default();
        *tries += 1;
        if *tries == 1 && from != to && !self.capacities.iter().all(Vec::is_empty) {
            *self.cross_zone.entry((to, at / SECOND)).or_default() += 1;
        }
    }

    /// The most that a zone was decided to bear by any decision that may have been gone by in a second.
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

    /// What holds of decisions, and figures.
    pub fn findings(mut self) -> (BTreeMap<&'static str, Finding>, DecisionFigures) {
        let controllers = self.setup.as_ref().map_or(0, |setup| setup.controllers);
        let over: Vec<(usize, u64, u64, f64)> = self
            .cross_zone
            .iter()
            .filter_map(|((zone, second), sent)| {
                let capacities = self.max_capacity(*zone, *second)?;
                let most = capacities * (1.0 + SLACK_SHARE) + CHANCE_ROOTS * capacities.sqrt() + CHANCE_ROOTS;
                (*sent as f64 > most).then_some((*zone, *second, *sent, capacities))
            })
            .collect();
        for (zone, second, sent, capacities) in over {
            self.violations.add("zone_never_overloaded", || {
                format!("zone {zone} bears {capacities:.1} a second and was sent {sent} from elsewhere in second {second}")
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
            near_share: (self.sends > 0 && self.zones() > 1)
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
