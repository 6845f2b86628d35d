//! One request, its owner, two successors, the ledger with the real state machine of the coordination service, a pay server with
//! and without receipts, in all interleavings: calls, answers and attempts that are late, processes that crash, stand still and
//! wake, sessions that end under a process that lives. And mutations, each of which must be caught.

use marblecroft_coordination::state::{ClientId, Command, Done, Op, Outcome, Owner, SessionId, State, Token};
use marblecroft_work_handoff::record::{Record, RequestClass, RequestOutcome, Stage};
use marblecroft_work_handoff::takeover::{
    next_step, step_after_seal, Receipt, TakeoverContext, TakeoverStep,
};
use marblecroft_work_handoff::work_log::{Entry, RecordKey};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;

const OWNER: usize = 0;
const LEFT_MS: u32 = 10_000;
const OUT_MS: u32 = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// An attempt is written before its intent is acknowledged.
    NoIntent,
    /// The ledger asks neither for the token nor for the revision.
    NoGuard,
    /// A successor sends again what may have run and must not run twice.
    ResendUnsafe,
    /// A successor asks for no seal where there are receipts.
    NoSeal,
    /// The server forgets what it has sealed.
    SealForgotten,
    /// A successor counts the unit as its own.
    CountAgain,
}

#[derive(Clone, Debug)]
struct Config {
    class: RequestClass,
    receipts: bool,
    /// Accepted first, and sent later: two writes.
    queued: bool,
    faults: u8,
    /// Attempts that the server turns away unrun.
    bounces: u8,
    mutation: Mutation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Asked {
    Claim,
    Accept,
    Intent,
    Outcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum At {
    Idle,
    Asked(Asked),
    /// It has the lock, and may look at the work.
    Holds,
    /// Its clock has said that it holds the lock: it may stop here.
    MaySend,
    Out,
    Sealing,
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Agent {
    up: bool,
    still: bool,
    /// By its own clock it holds its session.
    lives: bool,
    number: u64,
    token: Token,
    at: At,
    entry: Option<Entry>,
    /// What it is about to write counts the unit.
    counts: bool,
    /// It has waited until the old attempt can be out no longer.
    waited: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Wire {
    Call(usize, u64, Vec<u8>),
    Answer(usize, Vec<u8>),
    Attempt(usize, Token),
    Reply(usize, bool),
    Seal(usize, Token),
    Receipt(usize, bool),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Play {
    ledger: State,
    agents: Vec<Agent>,
    wire: Vec<Wire>,
    sealed: Token,
    runs: u8,
    units: u8,
    /// What whoever asks was told: that it was served, was given up, or is unknown.
    told: [bool; 3],
    faults: u8,
    bounces: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Go(usize),
    Deliver(usize),
    Bounce(usize),
    TimePasses(usize),
    Crash(usize),
    Stop(usize),
    Wake(usize),
    /// A session ends: after its holder's own clock has said so.
    End(usize),
}

fn session(agent: usize) -> SessionId {
    SessionId(agent as u64 + 1)
}

fn place() -> RecordKey {
    RecordKey { owner: "g".to_owned(), trace: "t".to_owned() }
}

fn bytes<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("small")
}

impl Play {
    fn call(&mut self, agent: usize, op: &Op, asked: Asked) {
        let of = &mut self.agents[agent];
        of.number += 1;
        of.at = At::Asked(asked);
        let call = Wire::Call(agent, of.number, bytes(op));
        self.wire.push(call);
    }

    fn write(&mut self, agent: usize, entry: Entry, asked: Asked, config: &Config) {
        let op = entry.put_operation(self.agents[agent].token).expect("it fits");
        let op = match op {
            Op::Put { key, value, .. } if config.mutation == Mutation::NoGuard => {
                Op::Put { key, value, expect: None, owner: Owner::Nobody }
            }
            op => op,
        };
        self.agents[agent].entry = Some(entry);
        self.call(agent, &op, asked);
    }

    fn intend(&mut self, agent: usize, entry: &Entry, config: &Config) {
        let Some(next) = entry.with_intent("s", LEFT_MS, OUT_MS) else {
            return self.agents[agent].at = At::Done;
        };
        self.agents[agent].counts = next.record.quota_charged && !entry.record.quota_charged;
        self.write(agent, next, Asked::Intent, config);
        if config.mutation == Mutation::NoIntent {
            self.agents[agent].at = At::MaySend;
        }
    }

    fn end(&mut self, agent: usize, entry: &Entry, ended: RequestOutcome, config: &Config) {
        match entry.with_outcome(ended) {
            Some(next) => self.write(agent, next, Asked::Outcome, config),
            None => self.agents[agent].at = At::Done,
        }
    }

    fn tell(&mut self, ended: &RequestOutcome) {
        self.told[match ended {
            RequestOutcome::Completed(_) => 0,
            RequestOutcome::Abandoned => 1,
            RequestOutcome::Unknown => 2,
        }] = true;
    }

    fn record(&self) -> Option<Entry> {
        let value = self.ledger.value(&place().key())?;
        let record = Record::decode(&value.value).expect("nobody else writes there");
        Some(Entry { key: place(), revision: value.revision, record })
    }

    fn follow(&mut self, agent: usize, entry: &Entry, what: TakeoverStep, config: &Config) {
        match what {
            TakeoverStep::Report(ended) => {
                self.tell(&ended);
                self.agents[agent].at = At::Done;
            }
            TakeoverStep::Send => self.intend(agent, entry, config),
            // Time passes by an action of its own.
            TakeoverStep::Wait(_) => self.agents[agent].at = At::Holds,
            TakeoverStep::Seal => {
                self.agents[agent].entry = Some(entry.clone());
                self.agents[agent].at = At::Sealing;
                let seal = Wire::Seal(agent, self.agents[agent].token);
                self.wire.push(seal);
            }
            TakeoverStep::Finish(ended) => self.end(agent, entry, ended, config),
        }
    }

    /// A process takes its next step of its own accord.
    fn go(&mut self, agent: usize, config: &Config) {
        match (self.agents[agent].at, agent) {
            (At::Idle, OWNER) => {
                let record = Record {
                    class: config.class,
                    customer: 1,
                    digest: 1,
                    request: vec![1],
                    remaining_ms: LEFT_MS,
                    attempts: 0,
                    quota_charged: false,
                    stage: Stage::Accepted,
                };
                let entry = Entry::accepted(place(), record);
                if config.queued {
                    self.write(agent, entry, Asked::Accept, config);
                } else {
                    self.intend(agent, &entry, config);
                }
            }
            (At::Idle, _) => {
                let lock = place().lock();
                self.call(agent, &Op::Acquire { session: session(agent), lock, wait: false }, Asked::Claim);
            }
            (At::Holds, OWNER) => {
                let entry = self.agents[agent].entry.clone().expect("it was accepted");
                self.intend(agent, &entry, config);
            }
            (At::Holds, _) => {
                let Some(mut entry) = self.record() else {
                    // Nothing was taken there.
                    return self.agents[agent].at = At::Done;
                };
                if config.mutation == Mutation::CountAgain {
                    entry.record.quota_charged = false;
                }
                let waited = self.agents[agent].waited;
                let age = Duration::from_millis(if waited { OUT_MS.into() } else { 0 });
                let owner_dead = !self.agents[OWNER].up;
                let receipts = config.receipts && config.mutation != Mutation::NoSeal;
                let mut what = next_step(
                    &entry.record,
                    TakeoverContext {
                        age,
                        has_receipts: receipts,
                        is_owner_dead: owner_dead,
                        allows_overlap: false,
                    },
                );
                let unsafe_again = [Mutation::ResendUnsafe, Mutation::NoSeal].contains(&config.mutation);
                if unsafe_again && what == TakeoverStep::Finish(RequestOutcome::Unknown) {
                    what = TakeoverStep::Send;
                }
                self.follow(agent, &entry, what, config);
            }
            (At::MaySend, _) => {
                let attempt = Wire::Attempt(agent, self.agents[agent].token);
                self.wire.push(attempt);
                self.agents[agent].at = At::Out;
            }
            _ => {}
        }
    }

    fn answered(&mut self, agent: usize, outcome: &Outcome) {
        let lives = self.agents[agent].lives;
        let At::Asked(asked) = self.agents[agent].at else { return };
        let of = &mut self.agents[agent];
        match (asked, outcome) {
            (Asked::Claim, Ok(Done::Granted(token))) => {
                of.token = *token;
                of.at = At::Holds;
            }
            // Somebody else was faster.
            (Asked::Claim, _) => of.at = At::Idle,
            (Asked::Accept | Asked::Intent, Ok(Done::At(revision))) => {
                of.entry = of.entry.take().map(|entry| entry.at_revision(*revision));
                // Asked here, and only here: the process may stop between this and the act.
                of.at = match (lives, asked) {
                    (false, _) => At::Done,
                    (true, Asked::Accept) => At::Holds,
                    (true, _) => At::MaySend,
                };
            }
            (Asked::Outcome, Ok(Done::At(_))) => {
                let ended = of.entry.as_ref().map(|entry| entry.record.stage.clone());
                of.at = At::Done;
                if let Some(Stage::Outcome(ended)) = ended {
                    self.tell(&ended);
                }
            }
            // Refused: it is no longer this one's.
            _ => of.at = At::Done,
        }
    }

    fn deliver(&mut self, wire: Wire, config: &Config) {
        match wire {
            Wire::Call(agent, number, op) => {
                let op: Op = postcard::from_bytes(&op).expect("its own");
                let client = ClientId(agent as u64 + 1);
                let call = Command::Call { client, number, done: number - 1, op };
                let outcome = self.ledger.apply(&call).expect("a call");
                // What is refused is never sent, and counts nothing.
                let counts = std::mem::take(&mut self.agents[agent].counts);
                self.units += u8::from(counts && matches!(outcome, Ok(Done::At(_))));
                self.wire.push(Wire::Answer(agent, bytes(&outcome)));
            }
            Wire::Answer(agent, outcome) => {
                let outcome: Outcome = postcard::from_bytes(&outcome).expect("its own");
                self.answered(agent, &outcome);
            }
            Wire::Attempt(agent, token) => {
                let refused = config.receipts && token < self.sealed;
                self.runs += u8::from(!refused);
                self.wire.push(Wire::Reply(agent, !refused));
            }
            Wire::Reply(agent, served) => {
                let entry = self.agents[agent].entry.clone().expect("it has sent it");
                if served {
                    // The answer goes out first, and the outcome is written behind it.
                    self.told[0] = true;
                    self.end(agent, &entry, RequestOutcome::Completed(vec![1]), config);
                } else if let Some(again) = entry.with_attempt_rejected(LEFT_MS) {
                    self.write(agent, again, Asked::Accept, config);
                }
            }
            Wire::Seal(agent, token) => {
                let ran = self.runs > 0;
                if !ran && config.mutation != Mutation::SealForgotten {
                    self.sealed = self.sealed.max(token);
                }
                self.wire.push(Wire::Receipt(agent, ran));
            }
            Wire::Receipt(agent, ran) => {
                let entry = self.agents[agent].entry.clone().expect("it was read");
                let receipt = if ran { Receipt::Executed(vec![1]) } else { Receipt::Sealed };
                let what = step_after_seal(&entry.record, receipt, Duration::ZERO);
                self.follow(agent, &entry, what, config);
            }
        }
    }
}

fn receiver(wire: &Wire) -> Option<usize> {
    match wire {
        Wire::Answer(agent, _) | Wire::Reply(agent, _) | Wire::Receipt(agent, _) => Some(*agent),
        Wire::Call(..) | Wire::Attempt(..) | Wire::Seal(..) => None,
    }
}

impl Model for Config {
    type State = Play;
    type Action = Action;

    fn init_states(&self) -> Vec<Play> {
        let mut ledger = State::default();
        for agent in 0..3 {
            let client = ClientId(agent as u64 + 1);
            let op = Op::Open { ttl_ms: 1000, name: format!("g{agent}") };
            ledger.apply(&Command::Call { client, number: 1, done: 0, op });
        }
        let op = Op::Acquire { session: session(OWNER), lock: place().lock(), wait: false };
        ledger.apply(&Command::Call { client: ClientId(1), number: 2, done: 1, op });
        let token = ledger.locks().find_map(|(_, lock)| lock.holder).expect("granted").1;
        let agents = (0..3).map(|agent| Agent {
            up: true,
            still: false,
            lives: true,
            number: if agent == OWNER { 2 } else { 1 },
            token: if agent == OWNER { token } else { 0 },
            at: At::Idle,
            entry: None,
            counts: false,
            waited: false,
        });
        vec![Play {
            ledger,
            agents: agents.collect(),
            wire: Vec::new(),
            sealed: 0,
            runs: 0,
            units: 0,
            told: [false; 3],
            faults: self.faults,
            bounces: self.bounces,
        }]
    }

    fn actions(&self, play: &Play, actions: &mut Vec<Action>) {
        let free = play.ledger.locks().all(|(_, lock)| lock.holder.is_none());
        for (i, agent) in play.agents.iter().enumerate() {
            let runs = agent.up && !agent.still;
            let ready = match agent.at {
                At::Idle if i == OWNER => agent.lives,
                // A successor begins once there is something to claim.
                At::Idle => agent.lives && free,
                At::Holds => agent.lives && (i == OWNER || agent.waited || !waits(self, play)),
                At::MaySend => true,
                _ => false,
            };
            if runs && ready {
                actions.push(Action::Go(i));
            }
            if runs && agent.at == At::Holds && i != OWNER && !agent.waited && waits(self, play) {
                actions.push(Action::TimePasses(i));
            }
            let worth = i == OWNER || agent.at != At::Idle;
            if runs && play.faults > 0 && worth && agent.at != At::Done {
                actions.push(Action::Crash(i));
                actions.push(Action::Stop(i));
                if agent.lives {
                    actions.push(Action::End(i));
                }
            }
            if agent.still && agent.up {
                actions.push(Action::Wake(i));
            }
            if agent.lives && (!agent.up || agent.still) {
                actions.push(Action::End(i));
            }
        }
        for (i, wire) in play.wire.iter().enumerate() {
            let there = receiver(wire).is_none_or(|to| play.agents[to].up && !play.agents[to].still);
            if there {
                actions.push(Action::Deliver(i));
            }
            if play.bounces > 0 && matches!(wire, Wire::Attempt(..)) {
                actions.push(Action::Bounce(i));
            }
        }
    }

    fn next_state(&self, before: &Play, action: Action) -> Option<Play> {
        let mut play = before.clone();
        match action {
            Action::Go(i) => play.go(i, self),
            Action::Deliver(i) => {
                let wire = play.wire.remove(i);
                play.deliver(wire, self);
            }
            Action::Bounce(i) => {
                play.bounces -= 1;
                if let Wire::Attempt(agent, _) = play.wire.remove(i) {
                    play.wire.push(Wire::Reply(agent, false));
                }
            }
            Action::TimePasses(i) => play.agents[i].waited = true,
            Action::Crash(i) => {
                play.faults -= 1;
                play.agents[i].up = false;
                // What was on its way to it is lost with it.
                play.wire.retain(|wire| receiver(wire) != Some(i));
            }
            Action::Stop(i) => {
                play.faults -= 1;
                play.agents[i].still = true;
            }
            Action::Wake(i) => play.agents[i].still = false,
            Action::End(i) => {
                let agent = &mut play.agents[i];
                // Under one that lives and runs it is a fault; whoever is gone or stands still just runs out of time.
                play.faults -= u8::from(agent.up && !agent.still);
                agent.lives = false;
                if agent.at == At::Idle {
                    agent.at = At::Done;
                }
                play.ledger.apply(&Command::End { sessions: vec![session(i)] });
            }
        }
        play.wire.sort();
        Some(play)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never twice", |config: &Config, play: &Play| {
                config.class == RequestClass::Idempotent || play.runs <= 1
            }),
            Property::always("units once", |_, play: &Play| play.units <= 1),
            Property::always("answers agree", |config: &Config, play: &Play| {
                let [served, given_up, _] = play.told;
                // What is told to be given up has never run, and what is told to be served has.
                (!served || play.runs > 0)
                    && !(config.class == RequestClass::NonIdempotent && given_up && play.runs > 0)
            }),
            Property::eventually("finishes", |_, play: &Play| {
                play.told.contains(&true) || play.record().is_none() && play.agents[OWNER].at != At::Idle
            }),
            Property::sometimes("a successor finishes it", |_, play: &Play| {
                play.told.contains(&true) && play.agents[1..].iter().any(|agent| agent.at == At::Done)
            }),
        ]
    }
}

/// Whether a successor has to wait until the old attempt can be out no longer.
fn waits(config: &Config, play: &Play) -> bool {
    let Some(entry) = play.record() else { return false };
    let owner_dead = !play.agents[OWNER].up;
    let of = TakeoverContext {
        age: Duration::ZERO,
        has_receipts: config.receipts,
        is_owner_dead: owner_dead,
        allows_overlap: false,
    };
    matches!(next_step(&entry.record, of), TakeoverStep::Wait(_))
}

fn configs(faults: u8, mutation: Mutation) -> impl Iterator<Item = Config> {
    let classes = [RequestClass::Idempotent, RequestClass::NonIdempotent];
    classes.into_iter().flat_map(move |class| {
        [false, true].into_iter().flat_map(move |receipts| {
            [false, true].map(move |queued| Config { class, receipts, queued, faults, bounces: 0, mutation })
        })
    })
}

/// The longest of them: the first attempt is turned away, and everything else may go wrong afterwards.
fn turned_away(mutation: Mutation) -> Config {
    let class = RequestClass::NonIdempotent;
    Config { class, receipts: true, queued: false, faults: 2, bounces: 1, mutation }
}

#[test]
fn no_interleaving_breaks_what_is_promised() {
    let mut states = 0;
    for config in configs(2, Mutation::None).chain([turned_away(Mutation::None)]) {
        let checker = config.clone().checker().threads(4).spawn_dfs().join();
        states += checker.unique_state_count();
        for name in ["never twice", "units once", "answers agree"] {
            let found = checker.discovery(name);
            assert!(found.is_none(), "{config:?}: {name}: {:?}", found.map(|path| path.into_actions()));
        }
        assert!(checker.discovery("a successor finishes it").is_some(), "{config:?}");
    }
    println!("{states} states");
    assert!(states > 10_000);
}

#[test]
fn without_a_fault_beyond_the_first_the_work_finishes() {
    for config in configs(1, Mutation::None) {
        let checker = config.clone().checker().threads(4).spawn_bfs().join();
        let found = checker.discovery("finishes");
        assert!(found.is_none(), "{config:?}: {:?}", found.map(|path| path.into_actions()));
    }
}

#[test]
fn each_mutation_is_caught() {
    for (mutation, name) in [
        (Mutation::NoIntent, "never twice"),
        (Mutation::NoGuard, "never twice"),
        (Mutation::ResendUnsafe, "never twice"),
        (Mutation::NoSeal, "never twice"),
        (Mutation::SealForgotten, "never twice"),
        (Mutation::CountAgain, "units once"),
    ] {
        let caught =
            configs(1, mutation).chain([turned_away(mutation)]).chain(configs(2, mutation)).any(|config| {
                let seen = HasDiscoveries::AllOf(BTreeSet::from([name]));
                let checker = config.checker().threads(4).finish_when(seen).spawn_bfs().join();
                checker.discovery(name).is_some()
            });
        assert!(caught, "{mutation:?}");
    }
}
