//! The invariants, judged on a history alone.
//!
//! Each holds, is broken (with the first cases, their ids and times), or does not apply, and then it is said why. None
//! depends on how fast the machine is: where a rule has a limit in time, it is widened by what the lab's own clock was late.

use crate::deployment::{Drawn, End, Nanos, ATTEMPTS_MOST, DRAIN_GRACE, MS, SECOND, SOCKET_SLACK, UNSAFE};
use crate::history::{Answer, At, Event, Life, Outcome, Returned, Setup, Told, Trace};
use crate::linear::{self, Call, Op, Ret};
use crate::scenario::{FaultKind, Kind};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// All names, as the lab's fixed face has them.
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
const CASES_MOST: usize = 5;
/// The ceiling's slack is widened by what its rate gives in this time.
const CEILING_SLACK: Nanos = 150 * MS;
/// What a fault does to a request is over this long after the fault.
const AFTERMATH: Nanos = SECOND;
/// A replica of the list service may be this far behind.
const REPLICA_LAG: Nanos = 6 * SECOND;

/// What breaks `nothing_acknowledged_lost` at the list service, until it is known whether it applies there.
const LIST_LACKS: &str = "list_lacks";

/// What became of one invariant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Finding {
    /// `None`: it does not apply.
    pub holds: Option<bool>,
    /// Cases, or why it does not apply.
    pub why: Vec<String>,
    pub cases: u64,
}

struct Try {
    ask: u32,
    trace: Trace,
    gateway: u16,
    began: Nanos,
    ended: Option<(Nanos, Outcome)>,
    /// Ends beyond the first.
    more_ends: u32,
    afterwards: Option<(Nanos, bool)>,
}

struct Attempt {
    trace: Trace,
    connection: u64,
    arrived: Nanos,
    ran: bool,
    answered: Option<(Nanos, Answer)>,
}

/// What a gateway has been told, in one life of its process.
#[derive(Default)]
struct Gateway {
    told: HashMap<u16, (Told, Nanos)>,
    store: Option<u64>,
    /// The store may have changed since the last call.
    moved: bool,
    since: u64,
}

struct Ceiling {
    level: f64,
    at: Nanos,
}

/// What is known of a lock: each grant with when its holder heard of it, and the highest token that took effect.
#[derive(Default)]
struct Owned {
    grants: Vec<(Nanos, u16, u64)>,
    highest: u64,
}

/// What a watcher was told in one life of its watch.
#[derive(Default)]
struct Watched {
    from: u64,
    upto: u64,
    told: BTreeMap<u64, (u16, u64)>,
}

/// Takes a history, event by event.
#[derive(Default)]
pub struct Judge {
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
    pub finished: bool,
}

fn seconds(at: Nanos) -> String {
    format!("{:.3} s", at as f64 / SECOND as f64)
}

impl Judge {
    fn broken(&mut self, name: &'static str, case: impl FnOnce() -> String) {
        let finding = self.cases.entry(name).or_default();
        finding.holds = Some(false);
        finding.cases += 1;
        if finding.why.len() < CASES_MOST {
            finding.why.push(case());
        }
    }

    /// How much a limit that ends then is widened.
    fn slack(&self, at: Nanos) -> Nanos {
        let from = self.stalls.partition_point(|(stall, _)| *stall + SECOND < at);
        let near = self.stalls[from..].iter().take_while(|(stall, _)| *stall < at + SECOND);
        SOCKET_SLACK + near.map(|(_, late)| *late).sum::<Nanos>()
    }

    pub fn take(&mut self, At { at, event }: &At) {
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

    /// A lock is granted: above every token whose holder knew of it before this one asked.
    fn granted(&mut self, at: Nanos, candidate: u16, lock: u16, token: u64, asked: Nanos) {
        let owned = self.locks.entry(lock).or_default();
        let not_above = owned.grants.iter().find(|(heard, who, other)| {
            (*heard < asked && *other > token) || (*other == token && *who != candidate)
        });
        if let Some((heard, who, other)) = not_above.copied() {
            self.broken("tokens_rise", || {
                format!(
                    "lock-{lock}: candidates[{candidate}] has {token} at {}, and candidates[{who}] had {other} at {}",
                    seconds(at),
                    seconds(heard)
                )
            });
        }
        self.locks.entry(lock).or_default().grants.push((at, candidate, token));
    }

    /// A holder holds itself for the owner: nobody may have heard of a later grant before.
    fn acts(&mut self, at: Nanos, candidate: u16, lock: u16, token: u64) {
        let owned = self.locks.entry(lock).or_default();
        let later = owned.grants.iter().find(|(_, who, other)| *other > token && *who != candidate).copied();
        if let Some((heard, who, other)) = later {
            self.broken("one_owner", || {
                format!(
                    "lock-{lock}: candidates[{candidate}] acts under {token} at {}, and candidates[{who}] has {other} since {}",
                    seconds(at),
                    seconds(heard)
                )
            });
        }
    }

    fn ended(&mut self, at: Nanos, trace: Trace, outcome: Outcome) {
        let Some(&last) = self.last_try.get(&trace) else { return };
        let it = &mut self.tries[last];
        if it.ended.is_some() {
            it.more_ends += 1;
            return;
        }
        it.ended = Some((at, outcome));
        if let Outcome::Served { attempt } = outcome {
            let made = attempt.and_then(|attempt| self.attempts.get(&attempt));
            let belongs = made.is_some_and(|made| {
                made.trace == trace && matches!(made.answered, Some((_, Answer::Served)))
            });
            if !belongs {
                self.broken("answers_belong", || {
                    format!("{trace:016x} was served at {} with what no pay server made for it", seconds(at))
                });
            }
        }
    }

    fn arrived(&mut self, at: Nanos, attempt: u64, trace: Trace, server: u16, connection: u64, gateway: u16) {
        let (ran, answered) = (false, None);
        self.attempts.insert(attempt, Attempt { trace, connection, arrived: at, ran, answered });
        let attempts = self.of_trace.entry(trace).or_default();
        attempts.push(attempt);
        let count = attempts.len();
        if count > ATTEMPTS_MOST as usize {
            self.broken("attempts_at_most_four", || {
                format!("{trace:016x}: attempt {count} arrived at {}", seconds(at))
            });
        }
        let told = self.gateways.get(&gateway).and_then(|seen| seen.told.get(&server)).copied();
        let told = self.counts_as_told(gateway, server, told);
        if let Some((Told::Draining | Told::Gone, since)) = told {
            if at > since + DRAIN_GRACE + self.slack(at) {
                self.broken("drains_kept", || {
                    format!(
                        "{trace:016x}: gateways[{gateway}] was told at {} that pay_servers[{server}] drains or is gone, \
                         and sent to it at {}",
                        seconds(since),
                        seconds(at)
                    )
                });
            }
        }
        if count == 1 {
            self.spend(at, trace);
        }
    }

    /// What a gateway was told of a server, or counts as told of: what its agent holds, from the first moment of its process, while
    /// no fault lies between the two.
    fn counts_as_told(
        &self,
        gateway: u16,
        server: u16,
        told: Option<(Told, Nanos)>,
    ) -> Option<(Told, Nanos)> {
        let between = |fault: &Drawn| {
            fault.kind.of_links()
                && (fault.from.is_empty()
                    || fault.victims.iter().chain(&fault.from).any(|end| end.kind() == Kind::ListService))
        };
        if self.setup.as_ref().is_none_or(|setup| setup.faults.iter().any(between)) {
            return told;
        }
        let held = self.held.get(&server).filter(|(held, _)| *held != Told::Serving);
        let started = self.started.get(&gateway).copied().unwrap_or(0);
        let held = held.map(|(held, since)| (*held, (*since).max(started)));
        match (told, held) {
            (Some((Told::Draining | Told::Gone, told_at)), Some((_, since))) if told_at <= since => told,
            (_, Some(held)) => Some(held),
            (told, None) => told,
        }
    }

    /// A try takes its unit from its customer's ceiling.
    fn spend(&mut self, at: Nanos, trace: Trace) {
        let Some(setup) = &self.setup else { return };
        let Some(&last) = self.last_try.get(&trace) else { return };
        let Some(&(customer, _)) = self.asks.get(&self.tries[last].ask) else { return };
        let Some(quota) =
            setup.plans.get(customer as usize).and_then(|plan| setup.quotas.get(usize::from(*plan)))
        else {
            return;
        };
        if quota.ceiling_rate <= 0.0 {
            return;
        }
        let (rate, depth) = (quota.ceiling_rate, quota.ceiling_depth);
        let store = self.ceilings.entry(customer).or_insert(Ceiling { level: depth, at });
        let since = at.saturating_sub(store.at) as f64 / SECOND as f64;
        store.level = (store.level + since * rate).min(depth) - 1.0;
        store.at = at;
        let level = store.level;
        let late = (CEILING_SLACK + self.slack(at) - SOCKET_SLACK) as f64 / SECOND as f64;
        let least = -quota.ceiling_slack - late * rate;
        if level < least {
            self.broken("ceilings_kept", || {
                format!(
                    "{trace:016x}: customer {customer} was at {level:.2} of its ceiling at {}, under {least:.2}",
                    seconds(at)
                )
            });
        }
    }

    fn told(&mut self, at: Nanos, gateway: u16, list: u16, store: u64, full: bool, servers: &[(u16, Told)]) {
        let seen = self.gateways.entry(gateway).or_default();
        if seen.store.replace(store).is_some_and(|before| before != store) {
            seen.moved = true;
        }
        let processes = self.setup.as_ref().map_or(0, |setup| setup.list_processes);
        if full {
            let missing = seen.told.keys().filter(|old| !servers.iter().any(|(new, _)| new == *old)).count();
            // What lacks most of the servers at once may be held for a while, where the list service is followed.
            if processes == 0 || missing * 2 <= seen.told.len() {
                for (old, state) in &mut seen.told {
                    if !servers.iter().any(|(new, _)| new == old) && state.0 != Told::Gone {
                        *state = (Told::Gone, at);
                    }
                }
            }
        }
        for (server, now) in servers {
            let state = seen.told.entry(*server).or_insert((*now, at));
            let leaves = |told| told != Told::Serving;
            if state.0 != *now && !(leaves(state.0) && leaves(*now)) {
                state.1 = at;
            }
            state.0 = *now;
        }
        if full && processes > 0 {
            let lag = if list == 0 { AFTERMATH } else { REPLICA_LAG };
            let lacks = self
                .registered
                .iter()
                .filter(|(server, since)| {
                    **since + lag < at && !servers.iter().any(|(new, _)| new == *server)
                })
                .map(|(server, since)| (*server, *since))
                .min();
            if let Some((server, since)) = lacks {
                self.broken(LIST_LACKS, || {
                    format!(
                        "pay_servers[{server}] was registered at {}, and the list told at {} lacks it",
                        seconds(since),
                        seconds(at)
                    )
                });
            }
        }
    }

    /// Whether a fault explains that a try at this gateway got no answer.
    fn excused(&self, setup: &Setup, gateway: u16, from: Nanos, to: Nanos) -> bool {
        let end = End::Gateway(gateway);
        let struck = |fault: &Drawn| match fault.kind {
            FaultKind::Kill | FaultKind::Restart | FaultKind::Wipe | FaultKind::Stop => {
                fault.victims.contains(&end)
            }
            // A gateway that is told to end answers what it has taken.
            FaultKind::Term | FaultKind::FullDisk => false,
            FaultKind::Cut | FaultKind::Delay | FaultKind::Lose | FaultKind::Duplicate => {
                let between = |a: End, b: End| {
                    fault.victims.contains(&a) && (fault.from.is_empty() || fault.from.contains(&b))
                };
                between(end, End::Clients) || between(End::Clients, end)
            }
        };
        let by_fault = setup.faults.iter().enumerate().any(|(i, fault)| {
            let i = i as u16;
            let Some(&began) = self.began.get(&i) else { return false };
            let over = self.over.get(&i).filter(|_| fault.until.is_some()).copied().unwrap_or(Nanos::MAX);
            struck(fault) && from <= over.saturating_add(AFTERMATH) && to >= began
        });
        by_fault || self.crashes.iter().any(|(of, at)| *of == end && to + AFTERMATH >= *at)
    }

    /// All invariants, by name.
    pub fn findings(mut self) -> Result<BTreeMap<&'static str, Finding>, String> {
        let setup = self.setup.take().ok_or("the history has no setup")?;
        if !self.finished {
            return Err("the history ends before the run did".to_owned());
        }
        self.judge_tries(&setup);
        self.judge_registers();
        self.judge_attempts();
        let mut findings = std::mem::take(&mut self.cases);
        let touches = |kind: Kind| {
            setup.faults.iter().any(|fault| {
                fault.kind.of_links()
                    && (fault.from.is_empty()
                        || fault.victims.iter().chain(&fault.from).any(|e| e.kind() == kind))
            })
        };
        let strikes = |kind: Kind, wanted: &[FaultKind]| {
            setup.faults.iter().any(|fault| {
                wanted.contains(&fault.kind) && fault.victims.iter().any(|victim| victim.kind() == kind)
            })
        };
        let ends = [FaultKind::Kill, FaultKind::Restart, FaultKind::Wipe, FaultKind::Term, FaultKind::Stop];
        let mut moot: Vec<(&str, &str)> = vec![];
        if touches(Kind::PayServers) {
            moot.push((
                "ceilings_kept",
                "links to pay servers fail, so arrivals do not tell when something was sent",
            ));
        }
        moot.push(("units_once", "the program has no takeover, under which it is asked"));
        if setup.coordinators == 0 {
            for name in ["one_owner", "fenced", "tokens_rise"] {
                moot.push((name, "the fleet has no coordinators"));
            }
        }
        let mut lists = Vec::new();
        if setup.list_processes == 0 {
            lists.push(("nothing_acknowledged_lost", "the fleet has no list service that acknowledges"));
        } else if strikes(Kind::ListService, &[FaultKind::Wipe]) {
            lists.push(("nothing_acknowledged_lost", "the list service's folder is taken away"));
        } else if strikes(Kind::PayServers, &ends)
            || touches(Kind::PayServers)
            || touches(Kind::ListService)
            || strikes(Kind::ListService, &[FaultKind::Stop, FaultKind::FullDisk])
        {
            lists.push((
                "nothing_acknowledged_lost",
                "leases may end for want of renewals, so a server may leave",
            ));
        }
        if let Some(lacks) = findings.remove(LIST_LACKS).filter(|_| lists.is_empty()) {
            let all = findings.entry("nothing_acknowledged_lost").or_default();
            all.holds = Some(false);
            all.cases += lacks.cases;
            all.why.extend(lacks.why);
        }
        // What the coordinators acknowledged is judged by itself; where there are none, there is only the list.
        if setup.coordinators == 0 {
            moot.append(&mut lists);
        }
        for (name, why) in moot {
            findings.insert(name, Finding { holds: None, why: vec![why.to_owned()], cases: 0 });
        }
        for name in INVARIANTS {
            findings.entry(name).or_insert(Finding { holds: Some(true), ..Finding::default() });
        }
        Ok(findings)
    }

    /// A call on a register has its answer. One of which nothing was done is as if it had never been made; so is a read that
    /// was given up.
    fn returned(&mut self, at: Nanos, call: u64, returned: Returned) {
        let ret = match returned {
            Returned::Value { value, revision } => Ret::Value { value, revision },
            Returned::At { revision } => Ret::At(revision),
            Returned::Conflict { revision } => Ret::Conflict(revision),
            Returned::Nothing => {
                self.calls.remove(&call);
                return;
            }
            Returned::Unknown => return,
        };
        if let Some((_, call)) = self.calls.get_mut(&call) {
            call.answer = Some((at, ret));
        }
    }

    fn watched(
        &mut self,
        at: Nanos,
        watcher: u16,
        since: Option<u64>,
        upto: u64,
        changes: &[(u64, u16, u64)],
    ) {
        let lives = self.watches.entry(watcher).or_default();
        let Some(since) = since else {
            return lives.push(Watched { from: upto, upto, told: BTreeMap::new() });
        };
        let Some(life) = lives.last_mut() else { return };
        let in_order = changes.windows(2).all(|pair| pair[0].0 < pair[1].0);
        let behind = changes.iter().all(|(revision, ..)| *revision > since && *revision <= upto);
        if since != life.upto || upto < since || !in_order || !behind {
            self.broken("nothing_acknowledged_lost", || {
                format!(
                    "candidates[{watcher}] watches from {since} and is told up to {upto} out of order at {}",
                    seconds(at)
                )
            });
            return;
        }
        life.upto = upto;
        life.told.extend(changes.iter().map(|(revision, register, value)| (*revision, (*register, *value))));
    }

    /// Registers are linearizable, and no watcher misses what was acknowledged.
    fn judge_registers(&mut self) {
        let mut of: BTreeMap<u16, Vec<Call>> = BTreeMap::new();
        for (register, call) in std::mem::take(&mut self.calls).into_values() {
            // A read that nobody answered says nothing.
            if call.answer.is_some() || call.op != Op::Read {
                of.entry(register).or_default().push(call);
            }
        }
        for (register, calls) in &of {
            match linear::judge(calls) {
                linear::Verdict::Linear => {}
                linear::Verdict::Not => self.broken("nothing_acknowledged_lost", || {
                    format!("register-{register}: no order of its {} calls explains their answers", calls.len())
                }),
                linear::Verdict::Undecided => self.broken("nothing_acknowledged_lost", || {
                    format!("register-{register}: it cannot be decided whether an order of its calls explains the answers")
                }),
            }
        }
        for (watcher, lives) in std::mem::take(&mut self.watches) {
            for life in lives {
                for (register, call) in
                    of.iter().flat_map(|(of, calls)| calls.iter().map(move |call| (*of, call)))
                {
                    let (Op::Put { value, .. }, Some((at, Ret::At(revision)))) = (call.op, call.answer)
                    else {
                        continue;
                    };
                    if revision <= life.from || revision > life.upto {
                        continue;
                    }
                    if life.told.get(&revision) != Some(&(register, value)) {
                        self.broken("nothing_acknowledged_lost", || {
                            format!(
                                "candidates[{watcher}] was not told of revision {revision} of register-{register}, acknowledged at {}",
                                seconds(at)
                            )
                        });
                    }
                }
            }
        }
    }

    fn judge_tries(&mut self, setup: &Setup) {
        let mut traces: BTreeMap<u32, BTreeSet<Trace>> = BTreeMap::new();
        for it in std::mem::take(&mut self.tries) {
            let Try { trace, gateway, began, .. } = it;
            if it.more_ends > 0 {
                self.broken("one_final_answer", || format!("{trace:016x} has more than one end"));
            }
            let lost = match (it.ended, it.afterwards) {
                (None, _) => Some((Nanos::MAX, "has no end")),
                // Whoever closes a first request unanswered has not lost it, by the operators' terms.
                (Some((at, Outcome::Reset { first: false })), _) => Some((at, "was cut off unanswered")),
                (Some((_, Outcome::TimedOut)), Some((at, false))) => Some((at, "was never answered")),
                _ => None,
            };
            if let Some((at, how)) = lost {
                if !self.excused(setup, gateway, began, at) {
                    self.broken("one_final_answer", || {
                        format!("{trace:016x} {how} by gateways[{gateway}], sent to it at {}", seconds(began))
                    });
                }
            }
            if self.asks.get(&it.ask).is_some_and(|(_, class)| *class == UNSAFE) {
                traces.entry(it.ask).or_default().insert(trace);
            }
        }
        // What must never run twice is the request, whichever of its tries it was.
        for (ask, traces) in traces {
            let ids = traces.iter().flat_map(|trace| self.of_trace.get(trace).into_iter().flatten());
            let ran = ids.filter_map(|id| self.attempts.get(id).filter(|attempt| attempt.ran));
            let runs: Vec<(Nanos, Trace)> = ran.map(|attempt| (attempt.arrived, attempt.trace)).collect();
            if runs.len() < 2 {
                continue;
            }
            self.broken("never_ran_twice", || {
                let runs: Vec<String> =
                    runs.iter().map(|(at, trace)| format!("{trace:016x} at {}", seconds(*at))).collect();
                format!("request {ask} ran {} times: {}", runs.len(), runs.join(", "))
            });
        }
    }

    fn judge_attempts(&mut self) {
        let mut overlaps = Vec::new();
        for (trace, ids) in &self.of_trace {
            let attempts: Vec<&Attempt> = ids.iter().filter_map(|id| self.attempts.get(id)).collect();
            for pair in attempts.windows(2) {
                let answered = pair[0].answered.map_or(Nanos::MAX, |(at, _)| at);
                let closed = self.closed.get(&pair[0].connection).copied().unwrap_or(Nanos::MAX);
                let next = pair[1].arrived;
                if answered.min(closed) > next + self.slack(next) {
                    overlaps.push((next, *trace));
                }
            }
        }
        overlaps.sort_unstable();
        for (at, trace) in overlaps {
            self.broken("attempts_one_at_a_time", || {
                format!("{trace:016x}: one arrived at {} while another was out", seconds(at))
            });
        }
    }
}
