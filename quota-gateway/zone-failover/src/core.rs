//! The decision: evidence, capacity, states and flow together, resumable by whoever owns the duty next.

use crate::body::{State, ZoneDecided, ZonesDecided};
use crate::capacity::Learnt;
use crate::evidence::{Evidence, Now};
use crate::flow::{flow, Load};
use crate::settings::{ms, Settings};
use crate::state::{Verdict, Zone};
use marblecroft_control_messages::frame::DecodeError;
use marblecroft_control_messages::report::Report;
use std::time::Duration;

/// Shares that changed by less are not worth a decision of their own ...
const MIN_SHARE_CHANGE: f64 = 0.01;
/// ... but one comes at least this often, so that capacities that rise slowly are told.
const MAX_DECISION_INTERVAL: Duration = Duration::from_secs(2);
/// A zone that returns is open for at least so much of what it bears, as its share rises: its clients may have gone elsewhere.
const MIN_RETURN_SHARE: f64 = 0.25;
/// Gateways that must see a zone fail; all of them where the fleet has fewer.
const WITNESSES: f64 = 2.0;

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    Hold(String),
    Return(String),
}

/// A zone has changed its state; for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Moved {
    pub zone: String,
    pub from: State,
    pub to: State,
}

pub struct Zones {
    settings: Settings,
    begun: Now,
    evidence: Evidence,
    zones: Vec<Zone>,
    learnt: Vec<Learnt>,
    /// When a region was last lost as a whole, and which.
    region_moved: Option<(Now, String)>,
    last: Option<(Now, ZonesDecided)>,
    moved: Vec<Moved>,
    /// Falls that were refused: the last zone, or a second region too soon.
    kept: u64,
}

impl Zones {
    /// An owner begins, from the decision that stands, if there is one: states go on, their times begin anew, as this owner
    /// has seen nothing yet.
    pub fn begin(settings: Settings, now: Now, before: Option<&ZonesDecided>) -> Zones {
        let told = |name: &str| before.and_then(|b| b.zones.iter().find(|zone| zone.name == name));
        let zones = settings.places.iter().map(|place| {
            let told = told(&place.name);
            let state = told.map_or(State::Serving, |zone| zone.state);
            Zone { state, falls: told.map_or(0, |zone| zone.falls), ..Zone::new(now) }
        });
        let zones = zones.collect();
        let learnt = settings.places.iter().map(|place| {
            let unit = told(&place.name).filter(|zone| zone.bears > 0.0).map_or(0.0, |zone| zone.bears);
            // Per server it is learnt again from the first reports; until then the zone's sum bounds it.
            Learnt::from_decision(unit / SERVERS_GUESSED, now)
        });
        let learnt = learnt.collect();
        let evidence = Evidence::default();
        Zones {
            begun: now,
            evidence,
            zones,
            learnt,
            region_moved: None,
            last: before.map(|before| (now, before.clone())),
            moved: Vec::new(),
            kept: 0,
            settings,
        }
    }

    pub fn report(&mut self, now: Now, report: &Report) -> Result<(), DecodeError> {
        self.evidence.take(now, &self.settings, report)
    }

    /// False: no zone is called so.
    pub fn on_operator_command(&mut self, now: Now, order: &OperatorCommand) -> bool {
        let (OperatorCommand::Hold(name) | OperatorCommand::Return(name)) = order;
        let Some(at) = self.settings.zone(name) else { return false };
        let from = self.zones[at].state;
        match order {
            OperatorCommand::Hold(_) => self.zones[at].hold_by_operator(now),
            OperatorCommand::Return(_) => self.zones[at].let_back(now),
        }
        self.record_transition(at, from);
        true
    }

    fn record_transition(&mut self, at: usize, from: State) {
        let to = self.zones[at].state;
        if from != to {
            self.moved.push(Moved { zone: self.settings.places[at].name.clone(), from, to });
        }
    }

    /// What has changed since it was last asked.
    pub fn moved(&mut self) -> Vec<Moved> {
        std::mem::take(&mut self.moved)
    }

    pub fn state(&self, zone: &str) -> Option<State> {
        self.settings.zone(zone).map(|at| self.zones[at].state)
    }

    /// Zones that are held out.
    pub fn held_zones(&self) -> Vec<String> {
        let held = self
            .settings
            .places
            .iter()
            .zip(&self.zones)
            .filter(|(_, zone)| zone.state == State::HeldByOperator);
        held.map(|(place, _)| place.name.clone()).collect()
    }

    /// Falls that were refused, as the zone is the last, or another region has just moved.
    pub fn rejected_failovers(&self) -> u64 {
        self.kept
    }

    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    fn n(&self) -> usize {
        self.settings.places.len()
    }

    /// Whether a zone's gateways see no other zone at all, though others see each other: it is they who are cut off, and what
    /// they say of others counts for nothing.
    fn is_partitioned(&self, from: usize) -> bool {
        let others = || (0..self.n()).filter(move |&to| to != from);
        let seen = |from: usize, to: usize| self.evidence.opinion(from, to);
        let sees_none = others().any(|to| seen(from, to).votes() > 0.0)
            && others().all(|to| seen(from, to).votes() <= 0.0 || seen(from, to).against());
        // Somebody else is served somewhere else, in the own zone or another one.
        sees_none && others().any(|a| others().any(|b| seen(a, b).favours()))
    }

    /// What this moment's evidence says of a zone.
    fn verdict(&self, zone: usize, cut_off: &[bool]) -> Verdict {
        let own = self.evidence.opinion(zone, zone);
        let (mut for_it, mut against, mut outside) = (0, 0, 0.0);
        for from in (0..self.n()).filter(|&from| from != zone && !cut_off[from]) {
            let opinion = self.evidence.opinion(from, zone);
            // What was well before says nothing against its being lost now.
            let latest = self.evidence.latest(from, zone);
            for_it += u32::from(latest.good > latest.bad);
            against += u32::from(opinion.against());
            outside += opinion.bad;
        }
        let needed = WITNESSES.min(self.evidence.heard() as f64).max(1.0);
        // One that is served elsewhere and not at home has no broken network of its own, and is as good as two.
        let elsewhere = (0..self.n()).any(|to| to != zone && self.evidence.opinion(zone, to).favours());
        let witnesses = own.bad + outside + if own.against() && elsewhere { WITNESSES } else { 0.0 };
        // Nothing is listed there, or no longer: nobody need try it to know.
        if self.evidence.heard() > 0 && self.evidence.servers(zone).0 <= 0.0 {
            return Verdict::Gone;
        }
        match (own.favours(), own.against()) {
            _ if own.votes() <= 0.0 && for_it + against == 0 => Verdict::Unseen,
            // Inside all is well: at the worst it is cut off from the others.
            (true, _) if against > for_it && outside >= needed => Verdict::Doubtful,
            (true, _) => Verdict::Well,
            // Its own gateways fail, and nobody outside is served there either.
            (false, true) if for_it == 0 && witnesses >= needed => Verdict::Lost,
            (false, true) => Verdict::Doubtful,
            // Nobody inside says anything.
            (false, false) if against > for_it && witnesses >= needed => Verdict::Lost,
            (false, false) if outside >= needed => Verdict::Doubtful,
            (false, false) => Verdict::Well,
        }
    }

    /// Whether a zone may go out: another is left that takes traffic, and where it is the last of its region, no other region
    /// has moved of late.
    fn may_fall(&self, now: Now, zone: usize) -> bool {
        let takes = |at: usize| at != zone && self.zones[at].state.takes();
        let region = &self.settings.places[zone].region;
        let last_of_region = !(0..self.n()).any(|at| takes(at) && self.settings.places[at].region == *region);
        let regions = self.settings.places.iter().any(|place| place.region != *region);
        // The same one that falls again is no further move.
        let lately = self.region_moved.as_ref().is_some_and(|(at, which)| {
            which != region && now.saturating_sub(*at) < ms(self.settings.dwell_ms)
        });
        (0..self.n()).any(takes) && !(regions && last_of_region && lately)
    }

    /// One moment: judges, and decides if there is something worth telling.
    pub fn tick(&mut self, now: Now) -> Option<ZonesDecided> {
        self.evidence.expire(now, &self.settings);
        if now.saturating_sub(self.begun) < ms(self.settings.settle_ms) || self.evidence.heard() == 0 {
            return None;
        }
        let cut_off: Vec<bool> = (0..self.n()).map(|zone| self.is_partitioned(zone)).collect();
        let verdicts: Vec<Verdict> = (0..self.n()).map(|zone| self.verdict(zone, &cut_off)).collect();
        // Everything is down: that is evidence against who looks.
        let looked = verdicts.iter().filter(|verdict| **verdict != Verdict::Unseen);
        let lost = |verdict: &Verdict| matches!(verdict, Verdict::Lost | Verdict::Gone);
        let all_lost = verdicts.iter().any(lost)
            && looked.clone().all(|verdict| lost(verdict) || *verdict == Verdict::Doubtful)
            && looked.count() >= self.zones.iter().filter(|zone| zone.state.takes()).count();
        for (at, verdict) in verdicts.iter().copied().enumerate() {
            let verdict = if all_lost && lost(&verdict) { Verdict::Doubtful } else { verdict };
            let may_fall = self.may_fall(now, at);
            let servers = self.evidence.servers(at).0 > 0.0;
            let from = self.zones[at].state;
            let region = self.settings.places[at].region.clone();
            self.zones[at].advance(now, &self.settings, verdict, may_fall, servers);
            if from != State::FailedOver && self.zones[at].state == State::FailedOver {
                let mut others = self.settings.places.iter().zip(&self.zones);
                if !others.any(|(place, zone)| place.region == region && zone.state.takes()) {
                    self.region_moved = Some((now, region));
                }
            } else if !may_fall && lost(&verdict) {
                self.kept += 1;
            }
            self.record_transition(at, from);
        }
        let decided = self.decide(now);
        let tell = self.last.as_ref().is_none_or(|(at, last)| {
            now.saturating_sub(*at) >= MAX_DECISION_INTERVAL || differs(last, &decided)
        });
        if !tell {
            return None;
        }
        self.last = Some((now, decided.clone()));
        Some(decided)
    }

    fn decide(&mut self, now: Now) -> ZonesDecided {
        let n = self.n();
        let asked: Vec<f64> = (0..n).map(|zone| self.evidence.demand(zone)).collect();
        let mut bears = Vec::with_capacity(n);
        for zone in 0..n {
            let warm = self.evidence.servers(zone).1;
            let (votes, pressed) = (0..n).fold((0.0, 0.0), |(votes, pressed), from| {
                let opinion = self.evidence.opinion(from, zone);
                (votes + opinion.votes(), pressed + opinion.pressed)
            });
            let pressed = 2.0 * pressed > votes;
            self.learnt[zone].see(now, self.evidence.served(zone), warm, pressed);
            bears.push(warm * self.learnt[zone].unit(self.settings.server_bears, pressed));
        }
        // A return begins with a part of the zone's own traffic: a part of what it bears may be most of that, and would be lost
        // with it if it is not back at all.
        let room = |zone: usize| {
            let open = self.zones[zone].open(now, &self.settings);
            let returning = self.zones[zone].state == State::Returning;
            open * if returning {
                bears[zone].min(asked[zone].max(MIN_RETURN_SHARE * bears[zone]))
            } else {
                bears[zone]
            }
        };
        let room = (0..n).map(room).collect();
        let cut = |from: usize, to: usize| {
            let opinion = self.evidence.opinion(from, to);
            from != to && opinion.against()
        };
        let load = Load {
            asked,
            room,
            takes: self.zones.iter().map(|zone| zone.state.takes()).collect(),
            looks: self.zones.iter().map(|zone| zone.state.takes() || zone.state == State::Suspect).collect(),
            suspect: self.zones.iter().map(|zone| zone.state == State::Suspect).collect(),
            cut: (0..n).map(|from| (0..n).map(|to| cut(from, to)).collect()).collect(),
        };
        let shares = flow(&self.settings, &load);
        let zones = shares.into_iter().enumerate().map(|(at, shares)| ZoneDecided {
            name: self.settings.places[at].name.clone(),
            state: self.zones[at].state,
            falls: self.zones[at].falls,
            bears: bears[at],
            asked: load.asked[at],
            gateways: self.evidence.heard_of(at),
            shares,
        });
        ZonesDecided { zones: zones.collect() }
    }
}

/// A zone's servers, until the first reports say how many there are. Too many is the safe side: each is then taken to bear less.
const SERVERS_GUESSED: f64 = 64.0;

fn differs(a: &ZonesDecided, b: &ZonesDecided) -> bool {
    let far = |a: &[f64], b: &[f64]| a.iter().zip(b).any(|(a, b)| (a - b).abs() > MIN_SHARE_CHANGE);
    a.zones.len() != b.zones.len()
        || a.zones.iter().zip(&b.zones).any(|(a, b)| a.state != b.state || far(&a.shares, &b.shares))
}
