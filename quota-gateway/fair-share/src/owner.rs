//! The owner's side: finds the level at which what all gateways tell meets the capacity, and gives each gateway its grant.

use crate::body::{ShareDecision, MAX_GATEWAYS, UNBOUND};
use crate::curve::{first_points, points_around, read};
use marblecroft_control_messages::frame::DecodeError;
use marblecroft_control_messages::published::Stamp;
use marblecroft_control_messages::report::{Demand, Report};
use std::collections::BTreeMap;
use std::time::Duration;

pub type Now = Duration;

/// By so much the sum of all that gateways may still go by may pass the capacity while grants move from some to others.
pub const SLACK: f64 = 0.05;
/// A gateway that was not heard for this long is taken for gone, and what was kept for it is given to others. One that is cut off
/// for longer and lives is the stated exception.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(60);
/// Clocks may run apart by this, as the lease of a session allows.
const DRIFT: f64 = 0.1;
/// Of what nobody asks for, so much is given out by weight: room for demand that grows before the next decision.
const SPARE: f64 = 0.9;
/// A decision that moves no grant by more than this part of the capacity and no level by more is not worth telling.
const MIN_RELATIVE_CHANGE: f64 = 0.002;

/// What is known of a gateway.
#[derive(Clone, Debug)]
struct Heard {
    at: Now,
    life: u64,
    number: u64,
    asked: Demand,
    /// Grants that it may go by: of the decision that it last said to go by, and of all later ones.
    grants: Vec<(Stamp, f64)>,
    /// Since when decisions have not named it, as it is not heard. One that it reads leaves it its floor; where it reads none,
    /// the last one that named it lapses.
    omitted: Option<Now>,
}

impl Heard {
    /// The most that it may be sending on by what it was granted; alone it shrinks to its floor.
    fn reserved(&self, now: Now, valid: Duration, shrink: Duration, floor: f64) -> f64 {
        let granted = self.grants.iter().map(|(_, units)| *units).fold(0.0, f64::max);
        let Some(omitted) = self.omitted else { return granted };
        let lapsed = now.saturating_sub(omitted).as_secs_f64() - valid.as_secs_f64() * (1.0 + DRIFT);
        let left = 1.0 - (lapsed / (shrink.as_secs_f64() * (1.0 + DRIFT))).clamp(0.0, 1.0);
        if lapsed > 0.0 {
            (granted * left).max(floor.min(granted))
        } else {
            granted
        }
    }
}

/// Halvings of the span in which the level is sought: to one part in 10^15 of it.
const HALVINGS: u32 = 50;
/// Decisions that a gateway has not said to go by yet, of which each is kept account of.
const MAX_PENDING_DECISIONS: usize = 64;

pub struct Owner {
    gateways: BTreeMap<u32, Heard>,
    capacity: f64,
    valid: Duration,
    shrink: Duration,
    last: Option<ShareDecision>,
    begun: Now,
    /// When it last had its turn.
    moment: Now,
    settle: Duration,
    /// Reports that came late or twice.
    pub repeated: u64,
}

impl Owner {
    /// An owner begins from the decision that stands. For `settle` it decides nothing, so that every gateway is heard before.
    pub fn begin(
        now: Now,
        valid: Duration,
        shrink: Duration,
        settle: Duration,
        before: Option<(Stamp, &ShareDecision)>,
    ) -> Owner {
        let gateways = before.into_iter().flat_map(|(stamp, decided)| {
            decided.grants.iter().map(move |&(gateway, units)| {
                let grants = vec![(stamp, f64::from(units))];
                let asked = Demand::default();
                (gateway, Heard { at: now, life: 0, number: 0, asked, grants, omitted: None })
            })
        });
        Owner {
            gateways: gateways.collect(),
            capacity: before.map_or(0.0, |(_, decided)| decided.capacity),
            valid,
            shrink,
            last: before.map(|(_, decided)| decided.clone()),
            begun: now,
            moment: now,
            settle,
            repeated: 0,
        }
    }

    /// What pay servers of all zones that serve are known to bear, in units a second.
    pub fn capacity(&mut self, units: f64) {
        self.capacity = units;
    }

    pub fn report(&mut self, now: Now, report: &Report) -> Result<(), DecodeError> {
        let known = self.gateways.get(&report.gateway);
        if known.is_some_and(|heard| heard.life == report.incarnation && heard.number >= report.sequence) {
            self.repeated += 1;
            return Ok(());
        }
        if known.is_none() && self.gateways.len() >= MAX_GATEWAYS {
            return Err(DecodeError::TooLong);
        }
        let goes_by = report.applied_decisions.shares;
        let mut grants = self.gateways.remove(&report.gateway).map_or_else(Vec::new, |heard| heard.grants);
        // A new life holds nothing yet and takes whatever is published next; what an old one held is gone with it.
        grants.retain(|(stamp, _)| *stamp >= goes_by);
        let (life, number, asked) = (report.incarnation, report.sequence, report.demand.clone());
        let heard = Heard { at: now, life, number, asked, grants, omitted: None };
        self.gateways.insert(report.gateway, heard);
        Ok(())
    }

    /// The weights of firms that ask, at all gateways.
    fn weight(&self) -> f64 {
        self.gateways.values().map(|heard| heard.asked.weight).sum()
    }

    /// What each gateway may still be going by: in sum never above the capacity and the slack, but while the capacity sinks.
    fn reserved(&self, now: Now) -> Vec<f64> {
        let weight = self.weight().max(1e-9);
        let floor = |heard: &Heard| self.capacity * heard.asked.weight / weight;
        self.gateways.values().map(|h| h.reserved(now, self.valid, self.shrink, floor(h))).collect()
    }

    /// A figure of all gateways that can be told something, added up.
    fn of_those(&self, cut: &[bool], figure: impl Fn(&Heard) -> f64) -> f64 {
        self.gateways.values().zip(cut).filter(|(_, cut)| !**cut).map(|(heard, _)| figure(heard)).sum()
    }

    /// The level at which they take so much: by halving, as the sum rises with the level. None where they never do, as far as
    /// they have told.
    fn level(&self, cut: &[bool], units: f64) -> Option<f64> {
        let sum = |level: f64| self.of_those(cut, |heard| read(&heard.asked, level));
        let ends = self.gateways.values().filter_map(|heard| heard.asked.points.last());
        let (mut low, mut high) = (0.0, ends.map(|(at, _)| *at).fold(0.0, f64::max));
        if high <= 0.0 || sum(high) <= units {
            return None;
        }
        for _ in 0..HALVINGS {
            let middle = 0.5 * (low + high);
            if sum(middle) > units {
                high = middle;
            } else {
                low = middle;
            }
        }
        Some(low)
    }

    /// Decides, if there is something worth telling. `stamp` is what it will be published under.
    pub fn decide(&mut self, now: Now, stamp: Stamp) -> Option<ShareDecision> {
        // One that stood still has heard nobody in that time: it begins again by listening, and leaves out nobody for it.
        let stood_still = now.saturating_sub(self.moment);
        self.moment = now;
        if stood_still > self.settle {
            self.begun = now;
            self.gateways.values_mut().for_each(|heard| heard.at += stood_still);
        }
        if now.saturating_sub(self.begun) < self.settle || self.capacity <= 0.0 {
            return None;
        }
        self.gateways.retain(|_, heard| {
            heard.omitted.is_none_or(|omitted| now.saturating_sub(omitted) < GRANT_LIFETIME)
        });
        let weight = self.weight();
        let reserved = self.reserved(now);
        // Who cannot be told anything keeps what it has; the others share the rest.
        let cut: Vec<bool> =
            self.gateways.values().map(|heard| now.saturating_sub(heard.at) > self.valid).collect();
        let kept: f64 = reserved.iter().zip(&cut).filter(|(_, cut)| **cut).map(|(units, _)| units).sum();
        let capacity = (self.capacity - kept).max(0.0);
        let all: f64 = self.of_those(&cut, |heard| heard.asked.total);
        let heard_weight: f64 = self.of_those(&cut, |heard| heard.asked.weight);
        let short = all > capacity;
        let level = if short { self.level(&cut, capacity).unwrap_or(UNBOUND) } else { UNBOUND };
        let spare = if short { 0.0 } else { SPARE * (capacity - all) };
        let target = |heard: &Heard| {
            if short && level < UNBOUND {
                read(&heard.asked, level)
            } else if short {
                // The told points end below the level: what is told of the rest is its sum alone.
                heard.asked.total * capacity / all
            } else {
                heard.asked.total + spare * heard.asked.weight / heard_weight.max(1e-9)
            }
        };
        let targets: Vec<f64> =
            self.gateways.values().zip(&cut).map(|(h, cut)| if *cut { 0.0 } else { target(h) }).collect();
        // Grants that fall bind once their gateway says so; those that rise have what is free till then.
        let all_reserved: f64 = reserved.iter().sum();
        let free = (self.capacity * (1.0 + SLACK) - all_reserved).max(0.0);
        let wanted: f64 = targets.iter().zip(&reserved).map(|(target, has)| (target - has).max(0.0)).sum();
        let part = if wanted > 0.0 { (free / wanted).min(1.0) } else { 0.0 };
        let grants: Vec<(u32, f32)> = self
            .gateways
            .keys()
            .zip(targets.iter().zip(&reserved).zip(&cut))
            .filter(|(_, (_, cut))| !**cut)
            .map(|(gateway, ((target, has), _))| {
                let units = if target > has { has + (target - has) * part } else { *target };
                // Down to the next figure that the format holds, so that rounding adds nothing up.
                (*gateway, ((units * (1.0 - 1e-6)) as f32).max(0.0))
            })
            .collect();
        let points = if level < UNBOUND { points_around(level) } else { self.resting_points() };
        let decided = ShareDecision { level, capacity: self.capacity, weight, points, grants };
        if self.last.as_ref().is_some_and(|last| !differs(last, &decided)) {
            return None;
        }
        for (heard, _) in self.gateways.values_mut().zip(&cut).filter(|(_, cut)| **cut) {
            heard.omitted.get_or_insert(now);
        }
        for (gateway, units) in &decided.grants {
            if let Some(heard) = self.gateways.get_mut(gateway) {
                if heard.grants.len() >= MAX_PENDING_DECISIONS {
                    // The highest stands for all that are left out.
                    let most = heard.grants.iter().map(|(_, units)| *units).fold(0.0, f64::max);
                    heard.grants = vec![(heard.grants[MAX_PENDING_DECISIONS - 1].0, most)];
                }
                heard.grants.push((stamp, f64::from(*units)));
            }
        }
        self.last = Some(decided.clone());
        Some(decided)
    }

    /// While nobody is bound: around the level at which the mean firm would be, should capacity become short.
    fn resting_points(&self) -> Vec<f64> {
        let weight = self.weight();
        if weight > 0.0 && self.capacity > 0.0 {
            points_around(self.capacity / weight)
        } else {
            first_points()
        }
    }

    pub fn heard(&self) -> usize {
        self.gateways.len()
    }
}

fn differs(a: &ShareDecision, b: &ShareDecision) -> bool {
    let far = |a: f64, b: f64| (a - b).abs() > MIN_RELATIVE_CHANGE * a.abs().max(b.abs());
    let worth = MIN_RELATIVE_CHANGE * b.capacity;
    a.grants.len() != b.grants.len()
        || far(a.level, b.level)
        || far(a.capacity, b.capacity)
        || a.grants.iter().zip(&b.grants).any(|(a, b)| a.0 != b.0 || f64::from((a.1 - b.1).abs()) > worth)
}
