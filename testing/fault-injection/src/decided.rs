//! Decisions made in common, judged on a history alone: that none goes back, that none is published under an older token, that no
//! zone is sent more from elsewhere than it bears; shares and books in modules of their own; and what they come to in figures.

mod books;
mod shares;

use crate::checker::Finding;
use crate::deployment::{Nanos, MS, SECOND};
use crate::endpoint::End;
use crate::history::{At, Duty, Event, Life, Outcome, Setup, Trace, ZoneState};
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
const OF_ALL: [&str; 3] = ["decision_never_back", "decision_fenced", "zone_never_overloaded"];

/// What is broken, with the first cases of each.
#[derive(Default)]
pub struct Broken(BTreeMap<&'static str, Finding>);

impl Broken {
    fn add(&mut self, name: &'static str, case: impl FnOnce() -> String) {
        let finding = self.0.entry(name).or_default();
        finding.holds = Some(false);
        finding.cases += 1;
        if finding.why.len() < CASES_MOST {
            finding.why.push(case());
        }
    }

    fn does_not_apply(&mut self, name: &'static str, why: &str) {
        self.0.insert(name, Finding { holds: None, why: vec![why.to_owned()], cases: 0 });
    }
}

/// What is sent to a zone from elsewhere may pass what it was decided to bear by this share: demand may grow by it before a
/// gateway cuts what goes abroad ...
const SLACK: f64 = 0.25;
/// ... and by chance by so many roots of it, and so many requests.
const CHANCE: f64 = 4.0;
/// A decision that was followed by another one may still be gone by for this long.
const LATE: Nanos = 3 * SECOND;
const CASES_MOST: usize = 5;

/// Figures of decisions; null where they do not apply.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// The share of attempts that went to a pay server of the gateway's own zone.
    pub near_share: Option<f64>,
    /// Time from the first fault's begin to the first decision that has a zone out, in milliseconds.
    pub time_to_failover_ms: Option<u64>,
    /// Time from the last fault's end to the first decision that has all zones serve again, in milliseconds.
    pub time_to_return_ms: Option<u64>,
    /// Decisions under older tokens that were rejected.
    pub late_decisions_refused: Option<u64>,
    /// Figures of the shares.
    pub shares: shares::Told,
    /// Figures of the shards.
    pub books: books::Told,
}

/// Checks what is decided in common.
#[derive(Default)]
pub struct Decided {
    setup: Option<Box<Setup>>,
    broken: Broken,
    shares: shares::Shares,
    books: books::Books,
    /// Which decision of each duty each gateway goes by, in one life of its process.
    goes_by: HashMap<(u16, Duty), (u64, u64)>,
    last: BTreeMap<Duty, (u64, u64)>,
    /// What each zone was decided to bear, and when.
    bears: Vec<Vec<(Nanos, f64)>>,
    /// Arrivals at each zone from elsewhere, by second.
    abroad: HashMap<(usize, u64), u64>,
    traces: HashMap<Trace, u32>,
    near: u64,
    sends: u64,
    states: Vec<ZoneState>,
    out_at: Option<Nanos>,
    back_at: Option<Nanos>,
    fault_at: Option<Nanos>,
    over_at: Option<Nanos>,
    refused: u64,
}

fn seconds(at: Nanos) -> f64 {
    at as f64 / SECOND as f64
}

impl Decided {
    fn zones(&self) -> usize {
        self.setup.as_ref().map_or(1, |setup| setup.zones.len().max(1))
    }

    /// Observes the next event.
    pub fn take(&mut self, all: &At) {
        let At { at, event } = all;
        let at = *at;
        match event {
            Event::Setup(setup) => {
                self.shares.begin(setup);
                self.books.begin(setup);
                self.bears = vec![Vec::new(); setup.zones.len()];
                self.setup = Some(setup.clone());
            }
            Event::Decided { token, revision, zones } => {
                self.published(at, Duty::Zones, (*token, *revision));
                self.decided(at, zones);
            }
            Event::SharesDecided { token, revision, .. } => {
                self.published(at, Duty::Shares, (*token, *revision));
            }
            Event::BooksDecided { token, revision, .. } => {
                self.published(at, Duty::Books, (*token, *revision));
            }
            Event::GoesBy { gateway, duty, token, revision } => {
                let now = (*token, *revision);
                let before = self.goes_by.insert((*gateway, *duty), now);
                if let Some(before) = before.filter(|before| *before > now) {
                    self.broken.add("decision_never_back", || {
                        format!(
                            "gateways[{gateway}] went from {before:?} to {now:?} of {duty:?} at {:.3} s",
                            seconds(at)
                        )
                    });
                }
            }
            Event::DecisionRefused { .. } => self.refused += 1,
            Event::Lived { end: End::Gateway(gateway), life: Life::Started } => {
                self.goes_by.retain(|(of, _), _| of != gateway);
            }
            Event::Arrived { server, gateway, trace, .. } => self.arrived(at, *server, *gateway, *trace),
            Event::Ended { trace, outcome: Outcome::Served { .. } } => drop(self.traces.remove(trace)),
            Event::FaultBegan { .. } => drop(self.fault_at.get_or_insert(at)),
            Event::FaultOver { .. } => self.over_at = Some(at),
            _ => {}
        }
        self.shares.take(all);
        self.books.take(all, &mut self.broken);
    }

    fn published(&mut self, at: Nanos, duty: Duty, now: (u64, u64)) {
        if let Some(before) = self.last.insert(duty, now).filter(|before| *before > now) {
            self.broken.add("decision_fenced", || {
                format!("{now:?} of {duty:?} was published after {before:?}, at {:.3} s", seconds(at))
            });
        }
    }

    fn decided(&mut self, at: Nanos, zones: &[(ZoneState, f64)]) {
        for (bears, (_, units)) in self.bears.iter_mut().zip(zones) {
            bears.push((at, *units));
        }
        self.states = zones.iter().map(|(state, _)| *state).collect();
        let out = self.states.contains(&ZoneState::Out);
        if out && self.fault_at.is_some() {
            self.out_at.get_or_insert(at);
        }
        let all_serve = self.states.iter().all(|state| *state == ZoneState::Serving);
        if all_serve && self.out_at.is_some() && self.over_at.is_some() {
            self.back_at.get_or_insert(at);
        }
    }

    fn arrived(&mut self, at: Nanos, server: u16, gateway: u16, trace: Trace) {
        let n = self.zones();
        let (from, to) = (usize::from(gateway) % n, usize::from(server) % n);
        self.sends += 1;
        self.near += u64::from(from == to);
        // A repeat goes wherever anything may go; a decision shares out first attempts.
        let tries = self.traces.entry(trace).or_default();
        *tries += 1;
        if *tries == 1 && from != to && !self.bears.iter().all(Vec::is_empty) {
            *self.abroad.entry((to, at / SECOND)).or_default() += 1;
        }
    }

    /// The most that a zone was decided to bear by any decision that may have been gone by in a second.
    fn bore(&self, zone: usize, second: u64) -> Option<f64> {
        let (from, to) = ((second * SECOND).saturating_sub(LATE), (second + 1) * SECOND);
        let all = self.bears.get(zone)?;
        let first = all.partition_point(|(at, _)| *at < from).saturating_sub(1);
        all[first.min(all.len())..]
            .iter()
            .take_while(|(at, _)| *at < to)
            .map(|(_, units)| *units)
            .reduce(f64::max)
    }

    /// What holds of decisions, and figures.
    pub fn findings(mut self) -> (BTreeMap<&'static str, Finding>, Told) {
        let stewards = self.setup.as_ref().map_or(0, |setup| setup.stewards);
        let over: Vec<(usize, u64, u64, f64)> = self
            .abroad
            .iter()
            .filter_map(|((zone, second), sent)| {
                let bears = self.bore(*zone, *second)?;
                let most = bears * (1.0 + SLACK) + CHANCE * bears.sqrt() + CHANCE;
                (*sent as f64 > most).then_some((*zone, *second, *sent, bears))
            })
            .collect();
        for (zone, second, sent, bears) in over {
            self.broken.add("zone_never_overloaded", || {
                format!("zone {zone} bears {bears:.1} a second and was sent {sent} from elsewhere in second {second}")
            });
        }
        if stewards == 0 {
            OF_ALL.into_iter().for_each(|name| self.broken.does_not_apply(name, "the fleet has no stewards"));
        }
        let shares = std::mem::take(&mut self.shares).findings(&mut self.broken);
        let books = std::mem::take(&mut self.books).findings(&mut self.broken);
        for name in INVARIANTS {
            self.broken.0.entry(name).or_insert(Finding { holds: Some(true), ..Finding::default() });
        }
        let since = |to: Option<Nanos>, from: Option<Nanos>| Some(to?.saturating_sub(from?) / MS);
        let decides = stewards > 0;
        let told = Told {
            near_share: (self.sends > 0 && self.zones() > 1).then(|| self.near as f64 / self.sends as f64),
            time_to_failover_ms: since(self.out_at, self.fault_at),
            time_to_return_ms: since(self.back_at, self.over_at),
            late_decisions_refused: decides.then_some(self.refused),
            shares,
            books,
        };
        (self.broken.0, told)
    }
}
