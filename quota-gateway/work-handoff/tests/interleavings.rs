//! Model checks the handoff of one request in all interleavings. The model has the owner, two successors, a
//! server with or without receipts, and the coordination service with its real state machine.
//! Calls, replies and attempts are delayed, gateways crash, pause and resume, and sessions expire while their
//! gateways are running. Each mutation of the protocol must violate a property.

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
const REMAINING_MS: u32 = 10_000;
const MAX_ATTEMPT_MS: u32 = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// An attempt is sent before its intent is acknowledged.
    SendBeforeIntent,
    /// The coordination service accepts writes with any token and any revision.
    UnguardedWrite,
    /// A successor repeats a non-idempotent request that may have been executed.
    ResendNonIdempotent,
    /// A successor does not request a seal, although the server stores receipts.
    SkipSeal,
    /// The server does not store a seal.
    LoseSeal,
    /// A successor charges the quota again.
    ChargeTwice,
}

#[derive(Clone, Debug)]
struct Config {
    class: RequestClass,
    has_receipts: bool,
    /// Whether the request is first recorded as accepted and then, by a second write, with its intent.
    queued: bool,
    faults: u8,
    /// Number of attempts that the server rejects without executing them.
    server_rejections: u8,
    mutation: Mutation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PendingCall {
    Claim,
    Accept,
    Intent,
    Outcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    AwaitingReply(PendingCall),
    /// Holds the lock and can process the record.
    Owning,
    /// Has checked by its own clock that its session is valid. It can be paused before it sends the attempt.
    ReadyToSend,
    InFlight,
    Sealing,
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    is_running: bool,
    is_paused: bool,
    /// Whether the session is valid according to the gateway's own clock.
    is_session_valid: bool,
    call_number: u64,
    token: Token,
    phase: Phase,
    entry: Option<Entry>,
    /// Whether its pending write charges the quota.
    charges_quota: bool,
    /// Whether it has waited until the old attempt can no longer be in flight.
    waited: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Call(usize, u64, Vec<u8>),
    CallReply(usize, Vec<u8>),
    Attempt(usize, Token),
    AttemptReply(usize, bool),
    Seal(usize, Token),
    Receipt(usize, bool),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct System {
    coordination: State,
    gateways: Vec<Gateway>,
    messages: Vec<Message>,
    sealed: Token,
    executions: u8,
    quota_charges: u8,
    /// Which outcomes were reported to clients: completed, abandoned, unknown.
    reported: [bool; 3],
    faults: u8,
    server_rejections: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Step(usize),
    Deliver(usize),
    RejectAttempt(usize),
    TimePasses(usize),
    Crash(usize),
    Pause(usize),
    Resume(usize),
    /// A session ends. By then the gateway's own clock has shown that it is no longer valid.
    ExpireSession(usize),
}

fn session(gateway: usize) -> SessionId {
    SessionId(gateway as u64 + 1)
}

fn record_key() -> RecordKey {
    RecordKey { owner: "g".to_owned(), trace: "t".to_owned() }
}

fn bytes<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("small")
}

impl System {
    fn call(&mut self, gateway: usize, op: &Op, pending: PendingCall) {
        let current = &mut self.gateways[gateway];
        current.call_number += 1;
        current.phase = Phase::AwaitingReply(pending);
        let call = Message::Call(gateway, current.call_number, bytes(op));
        self.messages.push(call);
    }

    fn write(&mut self, gateway: usize, entry: Entry, pending: PendingCall, config: &Config) {
        let op = entry.put_operation(self.gateways[gateway].token).expect("it fits");
        let op = match op {
            Op::Put { key, value, .. } if config.mutation == Mutation::UnguardedWrite => {
                Op::Put { key, value, expect: None, owner: Owner::Nobody }
            }
            op => op,
        };
        self.gateways[gateway].entry = Some(entry);
        self.call(gateway, &op, pending);
    }

    fn write_intent(&mut self, gateway: usize, entry: &Entry, config: &Config) {
        let Some(next) = entry.with_intent("s", REMAINING_MS, MAX_ATTEMPT_MS) else {
            return self.gateways[gateway].phase = Phase::Done;
        };
        self.gateways[gateway].charges_quota = next.record.quota_charged && !entry.record.quota_charged;
        self.write(gateway, next, PendingCall::Intent, config);
        if config.mutation == Mutation::SendBeforeIntent {
            self.gateways[gateway].phase = Phase::ReadyToSend;
        }
    }

    fn write_outcome(&mut self, gateway: usize, entry: &Entry, outcome: RequestOutcome, config: &Config) {
        match entry.with_outcome(outcome) {
            Some(next) => self.write(gateway, next, PendingCall::Outcome, config),
            None => self.gateways[gateway].phase = Phase::Done,
        }
    }

    fn report_outcome(&mut self, outcome: &RequestOutcome) {
        self.reported[match outcome {
            RequestOutcome::Completed(_) => 0,
            RequestOutcome::Abandoned => 1,
            RequestOutcome::Unknown => 2,
        }] = true;
    }

    fn record(&self) -> Option<Entry> {
        let value = self.coordination.value(&record_key().key())?;
        let record = Record::decode(&value.value).expect("all writers encode records");
        Some(Entry { key: record_key(), revision: value.revision, record })
    }

    fn execute(&mut self, gateway: usize, entry: &Entry, step: TakeoverStep, config: &Config) {
        match step {
            TakeoverStep::Report(outcome) => {
                self.report_outcome(&outcome);
                self.gateways[gateway].phase = Phase::Done;
            }
            TakeoverStep::Send => self.write_intent(gateway, entry, config),
            // The wait is the separate action `TimePasses`.
            TakeoverStep::Wait(_) => self.gateways[gateway].phase = Phase::Owning,
            TakeoverStep::Seal => {
                self.gateways[gateway].entry = Some(entry.clone());
                self.gateways[gateway].phase = Phase::Sealing;
                let seal = Message::Seal(gateway, self.gateways[gateway].token);
                self.messages.push(seal);
            }
            TakeoverStep::Finish(outcome) => self.write_outcome(gateway, entry, outcome, config),
        }
    }

    /// Executes the next step of a gateway that does not depend on a message.
    fn step(&mut self, gateway: usize, config: &Config) {
        match (self.gateways[gateway].phase, gateway) {
            (Phase::Idle, OWNER) => {
                let record = Record {
                    class: config.class,
                    customer: 1,
                    digest: 1,
                    request: vec![1],
                    remaining_ms: REMAINING_MS,
                    attempts: 0,
                    quota_charged: false,
                    stage: Stage::Accepted,
                };
                let entry = Entry::accepted(record_key(), record);
                if config.queued {
                    self.write(gateway, entry, PendingCall::Accept, config);
                } else {
                    self.write_intent(gateway, &entry, config);
                }
            }
            (Phase::Idle, _) => {
                let lock = record_key().lock();
                self.call(
                    gateway,
                    &Op::Acquire { session: session(gateway), lock, wait: false },
                    PendingCall::Claim,
                );
            }
            (Phase::Owning, OWNER) => {
                let entry = self.gateways[gateway].entry.clone().expect("the record of the accepted request");
                self.write_intent(gateway, &entry, config);
            }
            (Phase::Owning, _) => {
                let Some(mut entry) = self.record() else {
                    // No request was accepted.
                    return self.gateways[gateway].phase = Phase::Done;
                };
                if config.mutation == Mutation::ChargeTwice {
                    entry.record.quota_charged = false;
                }
                let waited = self.gateways[gateway].waited;
                let age = Duration::from_millis(if waited { MAX_ATTEMPT_MS.into() } else { 0 });
                let is_owner_terminated = !self.gateways[OWNER].is_running;
                let has_receipts = config.has_receipts && config.mutation != Mutation::SkipSeal;
                let mut step = next_step(
                    &entry.record,
                    TakeoverContext { age, has_receipts, is_owner_terminated, allows_overlap: false },
                );
                let resends = [Mutation::ResendNonIdempotent, Mutation::SkipSeal].contains(&config.mutation);
                if resends && step == TakeoverStep::Finish(RequestOutcome::Unknown) {
                    step = TakeoverStep::Send;
                }
                self.execute(gateway, &entry, step, config);
            }
            (Phase::ReadyToSend, _) => {
                let attempt = Message::Attempt(gateway, self.gateways[gateway].token);
                self.messages.push(attempt);
                self.gateways[gateway].phase = Phase::InFlight;
            }
            _ => {}
        }
    }

    fn handle_call_reply(&mut self, gateway: usize, outcome: &Outcome) {
        let is_session_valid = self.gateways[gateway].is_session_valid;
        let Phase::AwaitingReply(pending) = self.gateways[gateway].phase else { return };
        let current = &mut self.gateways[gateway];
        match (pending, outcome) {
            (PendingCall::Claim, Ok(Done::Granted(token))) => {
                current.token = *token;
                current.phase = Phase::Owning;
            }
            // Another gateway has acquired the lock.
            (PendingCall::Claim, _) => current.phase = Phase::Idle,
            (PendingCall::Accept | PendingCall::Intent, Ok(Done::At(revision))) => {
                current.entry = current.entry.take().map(|entry| entry.at_revision(*revision));
                // The session is checked only here. The gateway can be paused between this check and the next
                // step.
                current.phase = match (is_session_valid, pending) {
                    (false, _) => Phase::Done,
                    (true, PendingCall::Accept) => Phase::Owning,
                    (true, _) => Phase::ReadyToSend,
                };
            }
            (PendingCall::Outcome, Ok(Done::At(_))) => {
                let outcome = current.entry.as_ref().map(|entry| entry.record.stage.clone());
                current.phase = Phase::Done;
                if let Some(Stage::Outcome(outcome)) = outcome {
                    self.report_outcome(&outcome);
                }
            }
            // The write was rejected: this gateway no longer owns the record.
            _ => current.phase = Phase::Done,
        }
    }

    fn deliver(&mut self, message: Message, config: &Config) {
        match message {
            Message::Call(gateway, number, op) => {
                let op: Op = postcard::from_bytes(&op).expect("an encoded message of the model");
                let client = ClientId(gateway as u64 + 1);
                let call = Command::Call { client, number, acknowledged: number - 1, op };
                let outcome = self.coordination.apply(&call).expect("a call");
                // A rejected intent charges no quota, because its attempt is never sent.
                let charges_quota = std::mem::take(&mut self.gateways[gateway].charges_quota);
                self.quota_charges += u8::from(charges_quota && matches!(outcome, Ok(Done::At(_))));
                self.messages.push(Message::CallReply(gateway, bytes(&outcome)));
            }
            Message::CallReply(gateway, outcome) => {
                let outcome: Outcome =
                    postcard::from_bytes(&outcome).expect("an encoded message of the model");
                self.handle_call_reply(gateway, &outcome);
            }
            Message::Attempt(gateway, token) => {
                let refused = config.has_receipts && token < self.sealed;
                self.executions += u8::from(!refused);
                self.messages.push(Message::AttemptReply(gateway, !refused));
            }
            Message::AttemptReply(gateway, served) => {
                let entry = self.gateways[gateway].entry.clone().expect("the record of the attempt");
                if served {
                    // The response is sent to the client before the outcome is written.
                    self.reported[0] = true;
                    self.write_outcome(gateway, &entry, RequestOutcome::Completed(vec![1]), config);
                } else if let Some(next) = entry.with_attempt_rejected(REMAINING_MS) {
                    self.write(gateway, next, PendingCall::Accept, config);
                }
            }
            Message::Seal(gateway, token) => {
                let ran = self.executions > 0;
                if !ran && config.mutation != Mutation::LoseSeal {
                    self.sealed = self.sealed.max(token);
                }
                self.messages.push(Message::Receipt(gateway, ran));
            }
            Message::Receipt(gateway, ran) => {
                let entry = self.gateways[gateway].entry.clone().expect("the record to seal");
                let receipt = if ran { Receipt::Executed(vec![1]) } else { Receipt::Sealed };
                let step = step_after_seal(&entry.record, receipt, Duration::ZERO);
                self.execute(gateway, &entry, step, config);
            }
        }
    }
}

fn receiver(message: &Message) -> Option<usize> {
    match message {
        Message::CallReply(gateway, _) | Message::AttemptReply(gateway, _) | Message::Receipt(gateway, _) => {
            Some(*gateway)
        }
        Message::Call(..) | Message::Attempt(..) | Message::Seal(..) => None,
    }
}

impl Model for Config {
    type State = System;
    type Action = Action;

    fn init_states(&self) -> Vec<System> {
        let mut coordination = State::default();
        for gateway in 0..3 {
            let client = ClientId(gateway as u64 + 1);
            let op = Op::Open { ttl_ms: 1000, name: format!("g{gateway}") };
            coordination.apply(&Command::Call { client, number: 1, acknowledged: 0, op });
        }
        let op = Op::Acquire { session: session(OWNER), lock: record_key().lock(), wait: false };
        coordination.apply(&Command::Call { client: ClientId(1), number: 2, acknowledged: 1, op });
        let token = coordination.locks().find_map(|(_, lock)| lock.holder).expect("granted").1;
        let gateways = (0..3).map(|gateway| Gateway {
            is_running: true,
            is_paused: false,
            is_session_valid: true,
            call_number: if gateway == OWNER { 2 } else { 1 },
            token: if gateway == OWNER { token } else { 0 },
            phase: Phase::Idle,
            entry: None,
            charges_quota: false,
            waited: false,
        });
        vec![System {
            coordination,
            gateways: gateways.collect(),
            messages: Vec::new(),
            sealed: 0,
            executions: 0,
            quota_charges: 0,
            reported: [false; 3],
            faults: self.faults,
            server_rejections: self.server_rejections,
        }]
    }

    fn actions(&self, system: &System, actions: &mut Vec<Action>) {
        let is_lock_free = system.coordination.locks().all(|(_, lock)| lock.holder.is_none());
        for (i, gateway) in system.gateways.iter().enumerate() {
            let can_run = gateway.is_running && !gateway.is_paused;
            let is_ready = match gateway.phase {
                Phase::Idle if i == OWNER => gateway.is_session_valid,
                // A successor starts when the lock is free.
                Phase::Idle => gateway.is_session_valid && is_lock_free,
                Phase::Owning => {
                    gateway.is_session_valid && (i == OWNER || gateway.waited || !must_wait(self, system))
                }
                Phase::ReadyToSend => true,
                _ => false,
            };
            if can_run && is_ready {
                actions.push(Action::Step(i));
            }
            if can_run
                && gateway.phase == Phase::Owning
                && i != OWNER
                && !gateway.waited
                && must_wait(self, system)
            {
                actions.push(Action::TimePasses(i));
            }
            let is_relevant = i == OWNER || gateway.phase != Phase::Idle;
            if can_run && system.faults > 0 && is_relevant && gateway.phase != Phase::Done {
                actions.push(Action::Crash(i));
                actions.push(Action::Pause(i));
                if gateway.is_session_valid {
                    actions.push(Action::ExpireSession(i));
                }
            }
            if gateway.is_paused && gateway.is_running {
                actions.push(Action::Resume(i));
            }
            if gateway.is_session_valid && (!gateway.is_running || gateway.is_paused) {
                actions.push(Action::ExpireSession(i));
            }
        }
        for (i, message) in system.messages.iter().enumerate() {
            let can_receive = receiver(message)
                .is_none_or(|to| system.gateways[to].is_running && !system.gateways[to].is_paused);
            if can_receive {
                actions.push(Action::Deliver(i));
            }
            if system.server_rejections > 0 && matches!(message, Message::Attempt(..)) {
                actions.push(Action::RejectAttempt(i));
            }
        }
    }

    fn next_state(&self, before: &System, action: Action) -> Option<System> {
        let mut system = before.clone();
        match action {
            Action::Step(i) => system.step(i, self),
            Action::Deliver(i) => {
                let message = system.messages.remove(i);
                system.deliver(message, self);
            }
            Action::RejectAttempt(i) => {
                system.server_rejections -= 1;
                if let Message::Attempt(gateway, _) = system.messages.remove(i) {
                    system.messages.push(Message::AttemptReply(gateway, false));
                }
            }
            Action::TimePasses(i) => system.gateways[i].waited = true,
            Action::Crash(i) => {
                system.faults -= 1;
                system.gateways[i].is_running = false;
                // Messages to a crashed gateway are lost.
                system.messages.retain(|message| receiver(message) != Some(i));
            }
            Action::Pause(i) => {
                system.faults -= 1;
                system.gateways[i].is_paused = true;
            }
            Action::Resume(i) => system.gateways[i].is_paused = false,
            Action::ExpireSession(i) => {
                let gateway = &mut system.gateways[i];
                // It is a fault only if the gateway is running. The session of a crashed or paused gateway
                // always expires.
                system.faults -= u8::from(gateway.is_running && !gateway.is_paused);
                gateway.is_session_valid = false;
                if gateway.phase == Phase::Idle {
                    gateway.phase = Phase::Done;
                }
                system.coordination.apply(&Command::ExpireSessions { sessions: vec![session(i)] });
            }
        }
        system.messages.sort();
        Some(system)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no duplicate execution", |config: &Config, system: &System| {
                config.class == RequestClass::Idempotent || system.executions <= 1
            }),
            Property::always("no duplicate charge", |_, system: &System| system.quota_charges <= 1),
            Property::always("consistent outcomes", |config: &Config, system: &System| {
                let [completed, abandoned, _] = system.reported;
                // A request reported as completed was executed. A non-idempotent one reported as abandoned
                // was not.
                (!completed || system.executions > 0)
                    && !(config.class == RequestClass::NonIdempotent && abandoned && system.executions > 0)
            }),
            Property::eventually("request finishes", |_, system: &System| {
                system.reported.contains(&true)
                    || system.record().is_none() && system.gateways[OWNER].phase != Phase::Idle
            }),
            Property::sometimes("successor finishes the request", |_, system: &System| {
                system.reported.contains(&true)
                    && system.gateways[1..].iter().any(|gateway| gateway.phase == Phase::Done)
            }),
        ]
    }
}

/// Returns whether a successor must wait until the old attempt can no longer be in flight.
fn must_wait(config: &Config, system: &System) -> bool {
    let Some(entry) = system.record() else { return false };
    let is_owner_terminated = !system.gateways[OWNER].is_running;
    let context = TakeoverContext {
        age: Duration::ZERO,
        has_receipts: config.has_receipts,
        is_owner_terminated,
        allows_overlap: false,
    };
    matches!(next_step(&entry.record, context), TakeoverStep::Wait(_))
}

fn configs(faults: u8, mutation: Mutation) -> impl Iterator<Item = Config> {
    let classes = [RequestClass::Idempotent, RequestClass::NonIdempotent];
    classes.into_iter().flat_map(move |class| {
        [false, true].into_iter().flat_map(move |has_receipts| {
            [false, true].map(move |queued| Config {
                class,
                has_receipts,
                queued,
                faults,
                server_rejections: 0,
                mutation,
            })
        })
    })
}

/// The configuration with the longest paths: the first attempt is rejected, and two faults can follow.
fn rejected_first_attempt(mutation: Mutation) -> Config {
    let class = RequestClass::NonIdempotent;
    Config { class, has_receipts: true, queued: false, faults: 2, server_rejections: 1, mutation }
}

#[test]
fn safety_properties_hold_in_all_interleavings() {
    let mut states = 0;
    for config in configs(2, Mutation::None).chain([rejected_first_attempt(Mutation::None)]) {
        let checker = config.clone().checker().threads(4).spawn_dfs().join();
        states += checker.unique_state_count();
        for name in ["no duplicate execution", "no duplicate charge", "consistent outcomes"] {
            let violation = checker.discovery(name);
            assert!(
                violation.is_none(),
                "{config:?}: {name}: {:?}",
                violation.map(|path| path.into_actions())
            );
        }
        assert!(checker.discovery("successor finishes the request").is_some(), "{config:?}");
    }
    println!("{states} states");
    assert!(states > 10_000);
}

#[test]
fn the_request_finishes_with_at_most_one_fault() {
    for config in configs(1, Mutation::None) {
        let checker = config.clone().checker().threads(4).spawn_bfs().join();
        let violation = checker.discovery("request finishes");
        assert!(violation.is_none(), "{config:?}: {:?}", violation.map(|path| path.into_actions()));
    }
}

#[test]
fn each_mutation_violates_a_property() {
    for (mutation, name) in [
        (Mutation::SendBeforeIntent, "no duplicate execution"),
        (Mutation::UnguardedWrite, "no duplicate execution"),
        (Mutation::ResendNonIdempotent, "no duplicate execution"),
        (Mutation::SkipSeal, "no duplicate execution"),
        (Mutation::LoseSeal, "no duplicate execution"),
        (Mutation::ChargeTwice, "no duplicate charge"),
    ] {
        let caught = configs(1, mutation)
            .chain([rejected_first_attempt(mutation)])
            .chain(configs(2, mutation))
            .any(|config| {
                let goal = HasDiscoveries::AllOf(BTreeSet::from([name]));
                let checker = config.checker().threads(4).finish_when(goal).spawn_bfs().join();
                checker.discovery(name).is_some()
            });
        assert!(caught, "{mutation:?}");
    }
}
