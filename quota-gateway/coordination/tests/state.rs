//! Property tests of the state machine: random commands are compared with a simple model, and a second state
//! that is written to a snapshot and restored at every step must stay identical byte for byte. Also unit
//! tests of single rules.

use marblecroft_coordination::state::{
    Changes, ClientId, Command, Done, Op, OperationError, Outcome, Owner, SessionId, State, Token, VERSION,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Generates operations. Sessions, locks and keys have small numbers, so that operations often concern the
/// same ones.
fn op() -> impl Strategy<Value = Op> {
    let session = || (1..6u64).prop_map(SessionId);
    let lock = || (0..3u8).prop_map(|n| format!("lock-{n}"));
    let key = || (0..3u8).prop_map(|n| format!("key-{n}"));
    let owner = prop_oneof![
        Just(Owner::Nobody),
        session().prop_map(Owner::Session),
        (lock(), 1..12u64).prop_map(|(name, token)| Owner::Lock { name, token }),
    ];
    let owner = owner.boxed();
    let expect = prop::option::of(0..8u64);
    prop_oneof![
        2 => (400..2000u32).prop_map(|ttl_ms| Op::Open { ttl_ms, name: "who".to_owned() }),
        1 => session().prop_map(|session| Op::Close { session }),
        4 => (session(), lock(), any::<bool>())
            .prop_map(|(session, lock, wait)| Op::Acquire { session, lock, wait }),
        2 => (session(), lock()).prop_map(|(session, lock)| Op::Release { session, lock }),
        1 => lock().prop_map(|lock| Op::Revoke { lock }),
        3 => (key(), prop::collection::vec(any::<u8>(), 0..4), expect.clone(), owner.clone())
            .prop_map(|(key, value, expect, owner)| Op::Put { key, value, expect, owner }),
        1 => (key(), expect, owner).prop_map(|(key, expect, owner)| Op::Delete { key, expect, owner }),
        1 => (lock(), 1..12u64).prop_map(|(lock, token)| Op::Check { lock, token }),
    ]
}

fn command() -> impl Strategy<Value = Command> {
    let batch = prop::collection::vec(op(), 1..5).prop_map(Op::Batch);
    let call = (0..3u64, 0..3u64, prop_oneof![4 => op(), 1 => batch]);
    prop_oneof![
        // The test replaces the number by the client's next number, or, for 0, by its last number again.
        12 => call.prop_map(|(client, repeat, op)| Command::Call { client: ClientId(client), number: repeat, acknowledged: 0, op }),
        1 => prop::collection::vec((1..6u64).prop_map(SessionId), 1..3).prop_map(|sessions| Command::ExpireSessions { sessions }),
        1 => (0..30u64).prop_map(|token| Command::RaiseTokenFloor { token }),
    ]
}

/// A simple model of the state machine, which keeps sessions, locks and values in lists and searches them
/// linearly.
#[derive(Clone, Default)]
struct Model {
    sessions: Vec<u64>,
    opened: u64,
    token: Token,
    revision: u64,
    /// The name, the holder with its token, and the waiting sessions of each lock.
    locks: Vec<(String, (u64, Token), Vec<u64>)>,
    values: BTreeMap<String, (Vec<u8>, u64, Option<u64>)>,
    /// The locks that each session has requested, in the order of its requests. When the session ends, they
    /// are released and passed on in this order.
    requested_locks: BTreeMap<u64, Vec<String>>,
}

impl Model {
    fn current_token(&self, name: &str) -> Token {
        self.locks.iter().find(|(lock, ..)| lock == name).map_or(0, |(_, (_, token), _)| *token)
    }

    fn check_session(&self, session: SessionId) -> Result<(), OperationError> {
        if self.sessions.contains(&session.0) {
            Ok(())
        } else {
            Err(OperationError::NoSession)
        }
    }

    fn release(&mut self, session: u64, name: &str) {
        self.requested_locks.entry(session).or_default().retain(|lock| lock != name);
        let Some(index) = self.locks.iter().position(|(lock, ..)| lock == name) else { return };
        let (_, holder, waiting) = &mut self.locks[index];
        waiting.retain(|waiter| *waiter != session);
        if holder.0 != session {
            return;
        }
        self.revision += 1;
        if waiting.is_empty() {
            self.locks.remove(index);
        } else {
            self.token += 1;
            *holder = (waiting.remove(0), self.token);
        }
    }

    fn end_session(&mut self, session: u64) {
        if !self.sessions.contains(&session) {
            return;
        }
        self.sessions.retain(|open| *open != session);
        for lock in self.requested_locks.remove(&session).unwrap_or_default() {
            self.release(session, &lock);
        }
        let count_before = self.values.len();
        self.values.retain(|_, value| value.2 != Some(session));
        self.revision += (count_before - self.values.len()) as u64 + 1;
    }

    fn apply(&mut self, op: &Op) -> Outcome {
        match op {
            Op::Open { ttl_ms, .. } if *ttl_ms < 500 => Err(OperationError::Bad("ttl_ms".to_owned())),
            Op::Open { .. } => {
                self.opened += 1;
                self.revision += 1;
                self.sessions.push(self.opened);
                Ok(Done::Opened(SessionId(self.opened)))
            }
            Op::Close { session } => {
                self.check_session(*session)?;
                self.end_session(session.0);
                Ok(Done::Nothing)
            }
            Op::Acquire { session, lock, wait } => {
                self.check_session(*session)?;
                match self.locks.iter_mut().find(|(name, ..)| name == lock) {
                    Some((_, (holder, token), _)) if *holder == session.0 => Ok(Done::Granted(*token)),
                    Some((_, (_, token), _)) if !wait => Err(OperationError::Held(*token)),
                    Some((_, _, waiting)) => {
                        let position =
                            waiting.iter().position(|waiter| *waiter == session.0).unwrap_or_else(|| {
                                waiting.push(session.0);
                                self.requested_locks.entry(session.0).or_default().push(lock.clone());
                                waiting.len() - 1
                            });
                        Ok(Done::Waiting(position as u32))
                    }
                    None => {
                        self.token += 1;
                        self.revision += 1;
                        self.locks.push((lock.clone(), (session.0, self.token), Vec::new()));
                        self.requested_locks.entry(session.0).or_default().push(lock.clone());
                        Ok(Done::Granted(self.token))
                    }
                }
            }
            Op::Release { session, lock } => {
                self.check_session(*session)?;
                let holds_or_waits = self.locks.iter().any(|(name, (holder, _), waiting)| {
                    name == lock && (*holder == session.0 || waiting.contains(&session.0))
                });
                if !holds_or_waits {
                    return Err(OperationError::Fenced(self.current_token(lock)));
                }
                self.release(session.0, lock);
                Ok(Done::Nothing)
            }
            Op::Revoke { lock } => {
                let holder =
                    self.locks.iter().find(|(name, ..)| name == lock).map(|(_, (holder, _), _)| *holder);
                self.release(holder.ok_or(OperationError::Fenced(0))?, lock);
                Ok(Done::Nothing)
            }
            Op::Put { key, expect, owner, .. } | Op::Delete { key, expect, owner } => {
                let session = match owner {
                    Owner::Nobody => None,
                    Owner::Session(session) => {
                        self.check_session(*session)?;
                        Some(session.0)
                    }
                    Owner::Lock { name, token } => {
                        self.check_token(name, *token)?;
                        None
                    }
                };
                let current = self.values.get(key).map_or(0, |value| value.1);
                if expect.is_some_and(|expect| expect != current) {
                    return Err(OperationError::Conflict(current));
                }
                if let Op::Put { value, .. } = op {
                    self.revision += 1;
                    self.values.insert(key.clone(), (value.clone(), self.revision, session));
                } else {
                    self.values.remove(key).ok_or(OperationError::Conflict(0))?;
                    self.revision += 1;
                }
                Ok(Done::At(self.revision))
            }
            Op::Check { lock, token } => self.check_token(lock, *token).map(|()| Done::Nothing),
            Op::Batch(ops) => {
                let before = self.clone();
                let results: Result<Vec<Done>, OperationError> =
                    ops.iter().map(|op| self.apply(op)).collect();
                if results.is_err() {
                    *self = before;
                }
                results.map(Done::All)
            }
        }
    }

    fn check_token(&self, name: &str, token: Token) -> Result<(), OperationError> {
        if self.current_token(name) == token {
            Ok(())
        } else {
            Err(OperationError::Fenced(self.current_token(name)))
        }
    }

    /// Returns the holder, the token and the waiting sessions of each lock.
    fn locks(&self) -> BTreeMap<String, (u64, Token, Vec<u64>)> {
        self.locks
            .iter()
            .map(|(name, (holder, token), waiting)| (name.clone(), (*holder, *token, waiting.clone())))
            .collect()
    }
}

fn locks(state: &State) -> BTreeMap<String, (u64, Token, Vec<u64>)> {
    let held = state.locks().filter_map(|(name, lock)| {
        let (holder, token) = lock.holder?;
        Some((name.to_owned(), (holder.0, token, lock.waiting.iter().map(|waiter| waiter.0).collect())))
    });
    held.collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn random_commands_match_the_model_and_survive_snapshots(commands in prop::collection::vec(command(), 1..60)) {
        let (mut state, mut restored) = (State::default(), State::default());
        let mut model = Model::default();
        let mut last_numbers: BTreeMap<u64, u64> = BTreeMap::new();
        let mut last_calls: BTreeMap<u64, (Command, Outcome)> = BTreeMap::new();
        let mut highest_granted: Token = 0;
        for command in commands {
            let command = match command {
                Command::Call { client, number: 0, .. } if last_calls.contains_key(&client.0) => {
                    // The client repeats its last call, as after a lost reply. The outcome is the same, and
                    // the state does not change.
                    let (repeated, outcome) = &last_calls[&client.0];
                    let before = state.snapshot().expect("a snapshot");
                    prop_assert_eq!(state.apply(repeated), Some(outcome.clone()));
                    prop_assert_eq!(state.snapshot().expect("a snapshot"), before);
                    continue;
                }
                Command::Call { client, op, .. } => {
                    let number = last_numbers.entry(client.0).or_insert(0);
                    *number += 1;
                    Command::Call { client, number: *number, acknowledged: number.saturating_sub(3), op }
                }
                other => other,
            };
            let before = state.clone();
            let outcome = state.apply(&command);
            // The state that is restored from its own snapshot before every command behaves identically.
            let bytes = restored.snapshot().expect("a snapshot");
            restored = State::restore(&bytes).expect("a valid snapshot");
            prop_assert_eq!(&restored.apply(&command), &outcome);
            prop_assert_eq!(restored.snapshot().expect("a snapshot"), state.snapshot().expect("a snapshot"));
            match &command {
                Command::Call { client, op, .. } => {
                    let expected = model.apply(op);
                    let outcome = outcome.expect("a call has an outcome");
                    prop_assert_eq!(&outcome, &expected, "{:?}", op);
                    last_calls.insert(client.0, (command.clone(), outcome));
                }
                Command::ExpireSessions { sessions } => sessions.iter().for_each(|session| model.end_session(session.0)),
                Command::RaiseTokenFloor { token } => model.token = model.token.max(*token),
                Command::ExpireClients { .. } => {}
            }
            prop_assert_eq!(state.token_floor(), model.token);
            prop_assert_eq!(state.revision(), model.revision);
            prop_assert_eq!(locks(&state), model.locks());
            let open: Vec<u64> = state.sessions().map(|(id, _)| id.0).collect();
            prop_assert_eq!(&open, &model.sessions);
            for (name, (holder, token, waiting)) in locks(&state) {
                prop_assert!(open.contains(&holder) && waiting.iter().all(|waiter| open.contains(waiter)), "{}", name);
                prop_assert!(token <= state.token_floor() && !waiting.contains(&holder));
                highest_granted = highest_granted.max(token);
            }
            prop_assert!(state.token_floor() >= highest_granted, "tokens never decrease");
            let values: BTreeMap<String, Vec<u8>> = state.read("").1.into_iter().map(|(k, v)| (k.to_owned(), v.value.clone())).collect();
            prop_assert_eq!(values, model.values.iter().map(|(k, v)| (k.clone(), v.0.clone())).collect::<BTreeMap<_, _>>());
            // A watch from the previous revision reports every change up to the current revision.
            let Changes::Changes { last_revision, changes } = state.changes("", before.revision(), usize::MAX)
            else {
                panic!("the changes are still retained")
            };
            prop_assert_eq!(last_revision, state.revision());
            let revisions: Vec<u64> = changes.iter().map(|(revision, _)| *revision).collect();
            prop_assert_eq!(revisions, (before.revision() + 1..=last_revision).collect::<Vec<_>>());
        }
    }

    /// Damaged or truncated snapshots are either rejected or decoded as some state, without a panic.
    /// Snapshots of other versions are always rejected.
    #[test]
    fn arbitrary_bytes_are_decoded_without_a_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..200), has_valid_version in any::<bool>()) {
        if has_valid_version && bytes.len() > 1 {
            bytes[..2].copy_from_slice(&VERSION.to_le_bytes());
        }
        let restored = State::restore(&bytes);
        prop_assert!(restored.is_err() || bytes[..2] == VERSION.to_le_bytes());
    }
}

#[test]
fn exhausted_tokens_are_never_granted_again() {
    let mut state = State::default();
    let mut number = 0;
    let mut call = |state: &mut State, op: Op| {
        number += 1;
        state
            .apply(&Command::Call { client: ClientId(1), number, acknowledged: number - 1, op })
            .expect("an outcome")
    };
    let open = |name: &str| Op::Open { ttl_ms: 1000, name: name.to_owned() };
    let acquire = |n: u64| Op::Acquire { session: SessionId(n), lock: "a".to_owned(), wait: true };
    assert_eq!(call(&mut state, open("one")), Ok(Done::Opened(SessionId(1))));
    assert_eq!(call(&mut state, open("two")), Ok(Done::Opened(SessionId(2))));
    assert_eq!(state.apply(&Command::RaiseTokenFloor { token: Token::MAX - 2 }), None);
    assert_eq!(call(&mut state, acquire(1)), Ok(Done::Granted(Token::MAX - 1)));
    assert_eq!(call(&mut state, acquire(2)), Ok(Done::Waiting(0)));
    // The next session in the queue would need a higher token, so the lock becomes free instead.
    state.apply(&Command::ExpireSessions { sessions: vec![SessionId(1)] });
    assert_eq!(locks(&state).len(), 0);
    assert_eq!(call(&mut state, acquire(2)), Err(OperationError::Exhausted));
}

/// A cluster that is created again or restored from an older snapshot must grant only tokens above those that
/// holders may still have. The floor that its leader derives from the time of its takeover ensures this.
#[test]
fn a_floor_keeps_tokens_increasing_after_a_restore_from_an_older_snapshot() {
    let acquire_token = |state: &mut State, client: u64| {
        let call = |number, op| Command::Call { client: ClientId(client), number, acknowledged: 0, op };
        let Some(Ok(Done::Opened(session))) =
            state.apply(&call(1, Op::Open { ttl_ms: 1000, name: "x".into() }))
        else {
            panic!("no session was opened")
        };
        let acquire = Op::Acquire { session, lock: format!("lock-{client}"), wait: false };
        match state.apply(&call(2, acquire)) {
            Some(Ok(Done::Granted(token))) => token,
            other => panic!("{other:?}"),
        }
    };
    let mut state = State::default();
    state.apply(&Command::RaiseTokenFloor { token: 1_000 });
    let snapshot = state.snapshot().expect("a snapshot");
    let highest = (1..50).map(|client| acquire_token(&mut state, client)).max().expect("a token");
    let mut restored = State::restore(&snapshot).expect("a valid snapshot");
    assert!(
        acquire_token(&mut restored.clone(), 99) <= highest,
        "without a floor, a token is granted a second time"
    );
    restored.apply(&Command::RaiseTokenFloor { token: 2_000 });
    assert!(acquire_token(&mut restored, 99) > highest);
}

#[test]
fn a_repeated_call_of_an_expired_client_is_not_applied_again() {
    let mut state = State::default();
    let open = |number, acknowledged| Command::Call {
        client: ClientId(7),
        number,
        acknowledged,
        op: Op::Open { ttl_ms: 1000, name: "x".to_owned() },
    };
    assert!(matches!(state.apply(&open(1, 0)), Some(Ok(_))));
    assert!(matches!(state.apply(&open(2, 1)), Some(Ok(_))));
    assert_eq!(
        state.apply(&open(1, 0)),
        Some(Err(OperationError::Forgotten)),
        "the client has acknowledged this reply"
    );
    state.apply(&Command::ExpireClients { clients: vec![ClientId(7)] });
    assert_eq!(state.apply(&open(2, 1)), Some(Err(OperationError::Forgotten)));
    assert_eq!(state.sessions().count(), 2);
}

/// Two clients may draw the same id. Neither of them must get the cached reply to a call of the other.
#[test]
fn a_number_that_was_used_for_another_operation_is_rejected() {
    let mut state = State::default();
    let call = |op| Command::Call { client: ClientId(1), number: 1, acknowledged: 0, op };
    let open = |name: &str| Op::Open { ttl_ms: 1000, name: name.to_owned() };
    let first = state.apply(&call(open("one")));
    assert_eq!(state.apply(&call(open("one"))), first, "the repeated call has the same outcome");
    let before = state.snapshot().expect("a snapshot");
    assert!(matches!(
        state.apply(&call(open("two"))),
        Some(Err(OperationError::Bad(reason))) if reason.starts_with("number")
    ));
    assert_eq!(state.snapshot().expect("a snapshot"), before);
}

/// A watcher that is far behind receives the changes in several responses of bounded size, without a gap.
#[test]
fn changes_are_reported_in_responses_of_bounded_size() {
    let mut state = State::default();
    for number in 1..=40 {
        let key = format!("{}{number}", if number % 2 == 0 { "even" } else { "odd" });
        let op = Op::Put { key, value: vec![7; 1000], expect: None, owner: Owner::Nobody };
        state.apply(&Command::Call { client: ClientId(1), number, acknowledged: number - 1, op });
    }
    let (mut since, mut revisions, mut responses) = (0, Vec::new(), 0);
    while since < state.revision() {
        let Changes::Changes { last_revision, changes } = state.changes("even", since, 5000) else {
            panic!("the changes are still retained")
        };
        assert!(last_revision > since && changes.len() <= 4);
        revisions.extend(changes.iter().map(|(revision, _)| *revision));
        (since, responses) = (last_revision, responses + 1);
    }
    assert_eq!(revisions, (1..=20).map(|n| n * 2).collect::<Vec<_>>());
    assert_eq!(responses, 5);
    assert!(
        matches!(state.changes("even", 0, 1), Changes::Changes { changes, .. } if changes.len() == 1),
        "at least one change is reported"
    );
}
