//! The invariants, checked on a history alone.
//!
//! Each holds, is broken (with the first cases, their ids and times), or does not apply, for a stated reason. None depends on
//! how fast the machine is: a limit in time is widened by what the harness' own clock was late.

mod ceilings;
mod findings;
mod lists;
mod locks;
mod registers;
mod tries;

use crate::deployment::{Nanos, SECOND, SOCKET_SLACK};
use crate::endpoint::End;
use crate::history::{At, Event, Life, Setup, Told, Trace};
use crate::linear::{Call, Op};
use ceilings::Ceiling;
use lists::Gateway;
use locks::Owned;
use registers::Watched;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use tries::{Attempt, Try};

/// The names of all invariants, as reports and scenarios have them.
pub const INVARIANTS: [&str; 13] = [
    "one_final_answer",
    "never_ran_twice",
    "answers_belong",
    "attempts_one_at_a_time",
    "attempts_at_most_four",
    "drains_kept",
    "ceilings_kept",
    "units_once",
    "one_owner",
    "fenced",
    "tokens_rise",
    "list_never_back",
    "nothing_acknowledged_lost",
];

/// Cases that are told of one invariant.
const MAX_CASES: usize = 5;

/// What breaks `nothing_acknowledged_lost` at the list service, until it is known whether it applies there.
const LIST_LACKS_SERVER: &str = "list_lacks";

/// The finding on one invariant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Finding {
    /// Whether it holds; `None` where it does not apply.
    pub holds: Option<bool>,
    /// Cases, or why it does not apply.
    pub why: Vec<String>,
    /// How often it is broken.
    pub cases: u64,
}

/// Checks a history, event by event.
#[derive(Default)]
pub struct Checker {
    setup: Option<Box<Setup>>,
    asks: HashMap<u32, (u32, u8)>,
    tries: Vec<Try>,
    last_try: HashMap<Trace, usize>,
    attempts: HashMap<u64, Attempt>,
    of_trace: HashMap<Trace, Vec<u64>>,
    closed: HashMap<u64, Nanos>,
    gateways: HashMap<u16, Gateway>,
    /// What the platform's agents hold, and since when; and when each gateway's process was started.
    held: HashMap<u16, (Told, Nanos)>,
    started: HashMap<u16, Nanos>,
    ceilings: HashMap<u32, Ceiling>,
    registered: HashMap<u16, Nanos>,
    stalls: Vec<(Nanos, Nanos)>,
    began: HashMap<u16, Nanos>,
    over: HashMap<u16, Nanos>,
    crashes: Vec<(End, Nanos)>,
    locks: HashMap<u16, Owned>,
    /// Calls on registers by their numbers, in the order of their begins.
    calls: BTreeMap<u64, (u16, Call)>,
    watches: BTreeMap<u16, Vec<Watched>>,
    cases: BTreeMap<&'static str, Finding>,
    /// Whether the history has its end.
    pub finished: bool,
}

fn seconds(at: Nanos) -> String {
    format!("{:.3} s", at as f64 / SECOND as f64)
}

impl Checker {
    pub(super) fn broken(&mut self, name: &'static str, case: impl FnOnce() -> String) {
        let finding = self.cases.entry(name).or_default();
        finding.holds = Some(false);
        finding.cases += 1;
        if finding.why.len() < MAX_CASES {
            finding.why.push(case());
        }
    }

    /// How much a limit that ends then is widened.
    pub(super) fn slack(&self, at: Nanos) -> Nanos {
        let from = self.stalls.partition_point(|(stall, _)| *stall + SECOND < at);
        let near = self.stalls[from..].iter().take_while(|(stall, _)| *stall < at + SECOND);
        SOCKET_SLACK + near.map(|(_, late)| *late).sum::<Nanos>()
    }

    /// Observes the next event.
    pub fn observe(&mut self, At { at, event }: &At) {
        let at = *at;
        match event {
            Event::Setup(setup) => self.setup = Some(setup.clone()),
            Event::Asked { ask, customer, class, .. } => drop(self.asks.insert(*ask, (*customer, *class))),
            Event::Tried { ask, trace, gateway, .. } => {
                self.last_try.insert(*trace, self.tries.len());
                let (ask, trace, gateway) = (*ask, *trace, *gateway);
                let (ended, more_ends, afterwards) = (None, 0, None);
                self.tries.push(Try { ask, trace, gateway, began: at, ended, more_ends, afterwards });
            }
            Event::Ended { trace, outcome } => self.ended(at, *trace, *outcome),
            Event::Afterwards { trace, answered } => {
                if let Some(&last) = self.last_try.get(trace) {
                    self.tries[last].afterwards = Some((at, *answered));
                }
            }
            Event::Closed { connection } => drop(self.closed.entry(*connection).or_insert(at)),
            Event::Arrived { attempt, trace, server, connection, gateway } => {
                self.arrived(at, *attempt, *trace, *server, *connection, *gateway);
            }
            Event::Ran { attempt } => {
                self.attempts.get_mut(attempt).into_iter().for_each(|attempt| attempt.ran = true)
            }
            Event::Answered { attempt, answer } => {
                if let Some(attempt) = self.attempts.get_mut(attempt) {
                    attempt.answered.get_or_insert((at, *answer));
                }
            }
            Event::ListAsked { gateway, since: Some(since) } => {
                let seen = self.gateways.entry(*gateway).or_default();
                let (before, moved) = (seen.since, seen.moved);
                seen.since = *since;
                seen.moved = false;
                if *since < before && !moved {
                    let gateway = *gateway;
                    self.broken("list_never_back", || {
                        format!(
                            "gateways[{gateway}] went from version {before} to {since} at {}",
                            seconds(at)
                        )
                    });
                }
            }
            Event::ListTold { gateway, list, store, full, servers, .. } => {
                self.told(at, *gateway, *list, *store, *full, servers);
            }
            Event::AgentsHold { server, told } => drop(self.held.insert(*server, (*told, at))),
            Event::Registered { server, .. } => drop(self.registered.insert(*server, at)),
            Event::Lived { end, life } => match (end, life) {
                (End::Gateway(gateway), Life::Started) => {
                    self.gateways.remove(gateway);
                    self.started.insert(*gateway, at);
                }
                (End::Gateway(gateway), Life::Continued) => drop(self.started.insert(*gateway, at)),
                (_, Life::Crashed) => self.crashes.push((*end, at)),
                _ => {}
            },
            Event::Granted { candidate, lock, token, asked } => {
                self.granted(at, *candidate, *lock, *token, *asked)
            }
            Event::Acts { candidate, lock, token } => self.acts(at, *candidate, *lock, *token),
            Event::Effect { lock, token, admitted: true, .. } => {
                let (lock, token) = (*lock, *token);
                let owned = self.locks.entry(lock).or_default();
                let highest = owned.highest;
                owned.highest = highest.max(token);
                if token < highest {
                    self.broken("fenced", || {
                        format!("lock-{lock}: an effect under {token} after {highest} at {}", seconds(at))
                    });
                }
            }
            Event::Called { client, call, register, put } => {
                let op = put.map_or(Op::Read, |(value, expect)| Op::Put { value, expect });
                self.calls.insert(*call, (*register, Call { client: *client, from: at, op, answer: None }));
            }
            Event::Returned { call, returned } => self.returned(at, *call, *returned),
            Event::Watched { watcher, since, upto, changes } => {
                self.watched(at, *watcher, *since, *upto, changes)
            }
            Event::FaultBegan { fault } => drop(self.began.insert(*fault, at)),
            Event::FaultOver { fault } => drop(self.over.insert(*fault, at)),
            Event::Stalled { late } => self.stalls.push((at, *late)),
            Event::Finished { .. } => self.finished = true,
            Event::ListAsked { since: None, .. }
            | Event::AskEnded { .. }
            | Event::Opened { .. }
            | Event::Probed { .. }
            | Event::Fell { .. }
            | Event::Renewed { .. }
            | Event::Counted { .. }
            | Event::Effect { admitted: false, .. }
            | Event::Decided { .. }
            | Event::SharesDecided { .. }
            | Event::BooksDecided { .. }
            | Event::BookWrite { .. }
            | Event::CellsHold { .. }
            | Event::GoesBy { .. }
            | Event::DecisionRefused { .. }
            | Event::Busy { .. } => {}
        }
    }
}
