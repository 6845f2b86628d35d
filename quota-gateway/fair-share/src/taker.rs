//! A gateway's side: what its firms ask, what it tells of it, and what each of them may be sent on.

use crate::body::{ShareDecision, UNBOUND};
use crate::curve::{first_points, level_for, sample, LocalFirm};
use marblecroft_control_messages::published::{DecisionReader, Validity};
use marblecroft_control_messages::report::Demand;
use std::collections::BTreeMap;
use std::time::Duration;

pub type Now = Duration;

/// Seconds of memory of what a firm asks for.
const MEMORY: f64 = 1.0;
/// A firm's store holds so many seconds of what it may be sent on: requests come in whole units.
const STORE: f64 = 1.0;
/// Firms that are kept account of, and a firm that asked for nothing for this long is forgotten.
pub const MAX_FIRMS: usize = 50_000;
const FIRM_TTL: Duration = Duration::from_secs(30);
/// Alone, a gateway shrinks from its last grant to its equal part in this long.
pub const SHRINK: Duration = Duration::from_secs(10);

/// What is known of a firm beside what it asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirmQuota {
    pub weight: f64,
    /// The part of its traffic that comes through here, as the meter tells, and the part if all of its gateways had the same.
    pub part: f64,
    pub equal: f64,
    /// Units a second that its quota lets through here: what it asks beyond is no demand that a share could serve.
    pub quota: f64,
}

#[derive(Clone, Copy, Debug)]
struct Firm {
    known: FirmQuota,
    /// Units a second asked for, with memory, and when that was reckoned.
    rate: f64,
    at: Now,
    store: f64,
    filled: Now,
    /// What it may be sent on, in units a second.
    allowed: f64,
}

impl Firm {
    fn rate_at(&self, now: Now) -> f64 {
        self.rate * (-now.saturating_sub(self.at).as_secs_f64() / MEMORY).exp()
    }
}

/// What a gateway goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// No decision was ever read: as before there were shares.
    None,
    Level {
        level: f64,
        grant: f64,
    },
}

pub struct Taker {
    gateway: u32,
    firms: BTreeMap<u64, Firm>,
    points: Vec<f64>,
    bound: Bound,
    /// What all firms together may still be sent on by the grant, and when that was reckoned: what each asks for is known by a
    /// second's memory alone, so the grant holds by a store of its own and not by the sum of what firms are allowed.
    store: f64,
    filled: Now,
}

impl Taker {
    pub fn new(gateway: u32) -> Taker {
        Taker {
            gateway,
            firms: BTreeMap::new(),
            points: first_points(),
            bound: Bound::None,
            store: 0.0,
            filled: Now::ZERO,
        }
    }

    /// A firm asks for so many units, let in or not; whether its share holds them. What is asked again after a refusal is no
    /// further demand: coming back at once gains nothing.
    pub fn request(&mut self, now: Now, firm: u64, known: FirmQuota, units: f64, again: bool) -> bool {
        if self.firms.len() >= MAX_FIRMS && !self.firms.contains_key(&firm) {
            // Unknown to the account, so no share of its own: let in only where nobody is bound.
            return matches!(self.bound, Bound::None);
        }
        let bound = self.bound != Bound::None;
        let firm = self.firms.entry(firm).or_insert(Firm {
            known,
            rate: 0.0,
            at: now,
            store: 0.0,
            filled: now,
            // Until the next share is worked out its equal part of an unknown level is nothing known: its first unit passes.
            allowed: units,
        });
        firm.known = known;
        firm.rate = firm.rate_at(now) + if again { 0.0 } else { units / MEMORY };
        firm.at = now;
        let most = (firm.allowed * STORE).max(units);
        let gained = firm.allowed * now.saturating_sub(firm.filled).as_secs_f64();
        firm.store = (firm.store + gained).min(most);
        firm.filled = now;
        let firm_holds = firm.store >= units;
        self.fill(now, units);
        !bound || (firm_holds && self.store >= units)
    }

    fn fill(&mut self, now: Now, units: f64) {
        if let Bound::Level { grant, .. } = self.bound {
            let gained = grant * now.saturating_sub(self.filled).as_secs_f64();
            self.store = (self.store + gained).min((grant * STORE).max(units));
        }
        self.filled = now;
    }

    /// So many units of a firm were sent on.
    pub fn take(&mut self, firm: u64, units: f64) {
        self.store = (self.store - units).max(0.0);
        if let Some(firm) = self.firms.get_mut(&firm) {
            firm.store = (firm.store - units).max(0.0);
        }
    }

    fn here(&self, now: Now) -> Vec<LocalFirm> {
        let here = |firm: &Firm| LocalFirm {
            demand: firm.rate_at(now).min(firm.known.quota),
            weight: firm.known.weight * firm.known.part,
        };
        self.firms.values().map(here).collect()
    }

    /// What is told, once a second. Forgets firms that have long been silent.
    pub fn report(&mut self, now: Now) -> Demand {
        self.firms.retain(|_, firm| now.saturating_sub(firm.at) < FIRM_TTL);
        sample(&self.here(now), &self.points)
    }

    /// Works out what each firm may be sent on, by the decision that stands; a few times a second.
    pub fn obey(&mut self, now: Now, reader: &DecisionReader<ShareDecision>) {
        let standing = reader.validity(now);
        let decided = match standing {
            Validity::NoDecision => {
                self.bound = Bound::None;
                return;
            }
            Validity::Valid(decision) => {
                if self.points != decision.body.points {
                    self.points.clone_from(&decision.body.points);
                }
                &decision.body
            }
            Validity::Expired(decision, _) => &decision.body,
        };
        // A decision that does not name this gateway has nothing for it but its equal part.
        let least: f64 = self.firms.values().map(|firm| firm.known.weight * firm.known.equal).sum();
        let floor = decided.capacity * least / decided.weight.max(least).max(1e-9);
        let named = decided.grant(self.gateway).unwrap_or(floor);
        let (level, grant) = match standing {
            Validity::Expired(_, since) => {
                let left = 1.0 - (since.as_secs_f64() / SHRINK.as_secs_f64()).min(1.0);
                // Towards the level at which all firms together take what there is, each its weight's part.
                let alone = decided.capacity / decided.weight.max(1e-9);
                let level = if decided.level >= UNBOUND {
                    UNBOUND
                } else {
                    decided.level * left + alone * (1.0 - left)
                };
                (level, (named * left).max(floor.min(named)))
            }
            _ => (decided.level, named),
        };
        self.bound = Bound::Level { level, grant };
        let here = self.here(now);
        // Within the grant the same rule again: by weight, up to what each asks for.
        let level = level.min(level_for(&here, grant).unwrap_or(UNBOUND));
        for (firm, here) in self.firms.values_mut().zip(&here) {
            // Where nobody is bound, whoever asks for more before the next decision has it, as far as the grant goes.
            firm.allowed = if level >= UNBOUND { grant } else { (level * here.weight).min(grant) };
        }
    }

    pub fn bound(&self) -> Bound {
        self.bound
    }

    /// What a firm may be sent on, in units a second.
    pub fn allowed(&self, firm: u64) -> Option<f64> {
        self.firms.get(&firm).map(|firm| firm.allowed)
    }

    pub fn firms(&self) -> usize {
        self.firms.len()
    }
}
