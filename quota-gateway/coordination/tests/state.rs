//! The state machine against a plain model under random commands: replayed and snapshotted at every step, the same state, byte
//! for byte; and what must hold in every state.

use marblecroft_coordination::state::{
    Changes, ClientId, Command, Done, Op, Outcome, Owner, Refused, SessionId, State, Token, VERSION,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// What is asked, with sessions, locks and keys by small numbers, so that they meet.
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
        // The number is made below: the client's next one, or its last one again.
        12 => call.prop_map(|(client, repeat, op)| Command::Call { client: ClientId(client), number: repeat, done: 0, op }),
        1 => prop::collection::vec((1..6u64).prop_map(SessionId), 1..3).prop_map(|sessions| Command::End { sessions }),
        1 => (0..30u64).prop_map(|token| Command::Floor { token }),
    ]
}

/// The same service, written plainly: who holds and waits, and what values are, in lists that are searched.
#[derive(Clone, Default)]
struct Model {
    sessions: Vec<u64>,
    opened: u64,
    token: Token,
    revision: u64,
    /// Lock, holder and token, and who waits.
    locks: Vec<(String, (u64, Token), Vec<u64>)>,
    values: BTreeMap<String, (Vec<u8>, u64, Option<u64>)>,
    /// Locks of each session, as it asked for them: in that order they are let go, and tokens given to others.
    asked: BTreeMap<u64, Vec<String>>,
}

impl Model {
    fn held(&self, name: &str) -> Token {
        self.locks.iter().find(|(lock, ..)| lock == name).map_or(0, |(_, (_, token), _)| *token)
    }

    fn known(&self, session: SessionId) -> Result<(), Refused> {
        if self.sessions.contains(&session.0) {
            Ok(())
        } else {
            Err(Refused::NoSession)
        }
    }

    fn let_go(&mut self, session: u64, name: &str) {
        self.asked.entry(session).or_default().retain(|lock| lock != name);
        let Some(at) = self.locks.iter().position(|(lock, ..)| lock == name) else { return };
        let (_, holder, waiting) = &mut self.locks[at];
        waiting.retain(|of| *of != session);
        if holder.0 != session {
            return;
        }
        self.revision += 1;
        if waiting.is_empty() {
            self.locks.remove(at);
        } else {
            self.token += 1;
            *holder = (waiting.remove(0), self.token);
        }
    }

    fn end(&mut self, session: u64) {
        if !self.sessions.contains(&session) {
            return;
        }
        self.sessions.retain(|of| *of != session);
        for lock in self.asked.remove(&session).unwrap_or_default() {
            self.let_go(session, &lock);
        }
        let before = self.values.len();
        self.values.retain(|_, value| value.2 != Some(session));
        self.revision += (before - self.values.len()) as u64 + 1;
    }

    fn one(&mut self, op: &Op) -> Outcome {
        match op {
            Op::Open { ttl_ms, .. } if *ttl_ms < 500 => Err(Refused::Bad("ttl_ms".to_owned())),
            Op::Open { .. } => {
                self.opened += 1;
                self.revision += 1;
                self.sessions.push(self.opened);
                Ok(Done::Opened(SessionId(self.opened)))
            }
            Op::Close { session } => {
                self.known(*session)?;
                self.end(session.0);
                Ok(Done::Nothing)
            }
            Op::Acquire { session, lock, wait } => {
                self.known(*session)?;
                match self.locks.iter_mut().find(|(name, ..)| name == lock) {
                    Some((_, (holder, token), _)) if *holder == session.0 => Ok(Done::Granted(*token)),
                    Some((_, (_, token), _)) if !wait => Err(Refused::Held(*token)),
                    Some((_, _, waiting)) => {
                        let at = waiting.iter().position(|of| *of == session.0).unwrap_or_else(|| {
                            waiting.push(session.0);
                            self.asked.entry(session.0).or_default().push(lock.clone());
                            waiting.len() - 1
                        });
                        Ok(Done::Waiting(at as u32))
                    }
                    None => {
                        self.token += 1;
                        self.revision += 1;
                        self.locks.push((lock.clone(), (session.0, self.token), Vec::new()));
                        self.asked.entry(session.0).or_default().push(lock.clone());
                        Ok(Done::Granted(self.token))
                    }
                }
            }
            Op::Release { session, lock } => {
                self.known(*session)?;
                let has = self.locks.iter().any(|(name, (holder, _), waiting)| {
                    name == lock && (*holder == session.0 || waiting.contains(&session.0))
                });
                if !has {
                    return Err(Refused::Fenced(self.held(lock)));
                }
                self.let_go(session.0, lock);
                Ok(Done::Nothing)
            }
            Op::Revoke { lock } => {
                let holder =
                    self.locks.iter().find(|(name, ..)| name == lock).map(|(_, (holder, _), _)| *holder);
                self.let_go(holder.ok_or(Refused::Fenced(0))?, lock);
                Ok(Done::Nothing)
            }
            Op::Put { key, expect, owner, .. } | Op::Delete { key, expect, owner } => {
                let session = match owner {
                    Owner::Nobody => None,
                    Owner::Session(session) => {
                        self.known(*session)?;
                        Some(session.0)
                    }
                    Owner::Lock { name, token } => {
                        self.checked(name, *token)?;
                        None
                    }
                };
                let at = self.values.get(key).map_or(0, |value| value.1);
                if expect.is_some_and(|expect| expect != at) {
                    return Err(Refused::Conflict(at));
                }
                if let Op::Put { value, .. } = op {
                    self.revision += 1;
                    self.values.insert(key.clone(), (value.clone(), self.revision, session));
                } else {
                    self.values.remove(key).ok_or(Refused::Conflict(0))?;
                    self.revision += 1;
                }
                Ok(Done::At(self.revision))
            }
            Op::Check { lock, token } => self.checked(lock, *token).map(|()| Done::Nothing),
            Op::Batch(ops) => {
                let before = self.clone();
                let all: Result<Vec<Done>, Refused> = ops.iter().map(|op| self.one(op)).collect();
                if all.is_err() {
                    *self = before;
                }
                all.map(Done::All)
            }
        }
    }

    fn checked(&self, name: &str, token: Token) -> Result<(), Refused> {
        if self.held(name) == token {
            Ok(())
        } else {
            Err(Refused::Fenced(self.held(name)))
        }
    }

    /// Holder, token and waiting of each lock.
    fn locks(&self) -> BTreeMap<String, (u64, Token, Vec<u64>)> {
        self.locks
            .iter()
            .map(|(name, (holder, token), w)| (name.clone(), (*holder, *token, w.clone())))
            .collect()
    }
}

fn locks(state: &State) -> BTreeMap<String, (u64, Token, Vec<u64>)> {
    let held = state.locks().filter_map(|(name, lock)| {
        let (holder, token) = lock.holder?;
        Some((name.to_owned(), (holder.0, token, lock.waiting.iter().map(|of| of.0).collect())))
    });
    held.collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn any_commands_give_what_the_model_gives_replayed_and_snapshotted(commands in prop::collection::vec(command(), 1..60)) {
        let (mut state, mut replayed) = (State::default(), State::default());
        let mut model = Model::default();
        let mut numbers: BTreeMap<u64, u64> = BTreeMap::new();
        let mut last: BTreeMap<u64, (Command, Outcome)> = BTreeMap::new();
        let mut granted: Token = 0;
        for command in commands {
            let command = match command {
                Command::Call { client, number: 0, .. } if last.contains_key(&client.0) => {
                    // Its last call once more, as after a lost answer: the same answer, and no other effect.
                    let (again, outcome) = &last[&client.0];
                    let before = state.snapshot().expect("a snapshot");
                    prop_assert_eq!(state.apply(again), Some(outcome.clone()));
                    prop_assert_eq!(state.snapshot().expect("a snapshot"), before);
                    continue;
                }
                Command::Call { client, op, .. } => {
                    let number = numbers.entry(client.0).or_insert(0);
                    *number += 1;
                    Command::Call { client, number: *number, done: number.saturating_sub(3), op }
                }
                other => other,
            };
            let before = state.clone();
            let outcome = state.apply(&command);
            // Written and read again at every step, it goes on as the one that never was.
            let bytes = replayed.snapshot().expect("a snapshot");
            replayed = State::restore(&bytes).expect("its own");
            prop_assert_eq!(&replayed.apply(&command), &outcome);
            prop_assert_eq!(replayed.snapshot().expect("a snapshot"), state.snapshot().expect("a snapshot"));
            match &command {
                Command::Call { client, op, .. } => {
                    let expected = model.one(op);
                    let outcome = outcome.expect("a call has an outcome");
                    prop_assert_eq!(&outcome, &expected, "{:?}", op);
                    last.insert(client.0, (command.clone(), outcome));
                }
                Command::End { sessions } => sessions.iter().for_each(|session| model.end(session.0)),
                Command::Floor { token } => model.token = model.token.max(*token),
                Command::ExpireClients { .. } => {}
            }
            prop_assert_eq!(state.token_floor(), model.token);
            prop_assert_eq!(state.revision(), model.revision);
            prop_assert_eq!(locks(&state), model.locks());
            let open: Vec<u64> = state.sessions().map(|(id, _)| id.0).collect();
            prop_assert_eq!(&open, &model.sessions);
            for (name, (holder, token, waiting)) in locks(&state) {
                prop_assert!(open.contains(&holder) && waiting.iter().all(|of| open.contains(of)), "{}", name);
                prop_assert!(token <= state.token_floor() && !waiting.contains(&holder));
                granted = granted.max(token);
            }
            prop_assert!(state.token_floor() >= granted, "tokens never fall");
            let values: BTreeMap<String, Vec<u8>> = state.read("").1.into_iter().map(|(k, v)| (k.to_owned(), v.value.clone())).collect();
            prop_assert_eq!(values, model.values.iter().map(|(k, v)| (k.clone(), v.0.clone())).collect::<BTreeMap<_, _>>());
            // A watch that holds the state before is told what leads to the state now.
            let Changes::Changes { upto, changes } = state.changes("", before.revision(), usize::MAX) else { panic!("not that long ago") };
            prop_assert_eq!(upto, state.revision());
            let revisions: Vec<u64> = changes.iter().map(|(revision, _)| *revision).collect();
            prop_assert_eq!(revisions, (before.revision() + 1..=upto).collect::<Vec<_>>());
        }
    }

    /// A snapshot that is spoilt or cut off is refused or read as some state; nothing panics, and no version but the own is read.
    #[test]
    fn any_bytes_are_read_without_a_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..200), versioned in any::<bool>()) {
        if versioned && bytes.len() > 1 {
            bytes[..2].copy_from_slice(&VERSION.to_le_bytes());
        }
        let read = State::restore(&bytes);
        prop_assert!(read.is_err() || bytes[..2] == VERSION.to_le_bytes());
    }
}

#[test]
fn tokens_end_and_are_never_given_twice() {
    let mut state = State::default();
    let mut number = 0;
    let mut call = |state: &mut State, op: Op| {
        number += 1;
        state.apply(&Command::Call { client: ClientId(1), number, done: number - 1, op }).expect("a call")
    };
    let open = |name: &str| Op::Open { ttl_ms: 1000, name: name.to_owned() };
    let acquire = |n: u64| Op::Acquire { session: SessionId(n), lock: "a".to_owned(), wait: true };
    assert_eq!(call(&mut state, open("one")), Ok(Done::Opened(SessionId(1))));
    assert_eq!(call(&mut state, open("two")), Ok(Done::Opened(SessionId(2))));
    assert_eq!(state.apply(&Command::Floor { token: Token::MAX - 2 }), None);
    assert_eq!(call(&mut state, acquire(1)), Ok(Done::Granted(Token::MAX - 1)));
    assert_eq!(call(&mut state, acquire(2)), Ok(Done::Waiting(0)));
    // The next in the queue would need a token above; nobody has the lock then.
    state.apply(&Command::End { sessions: vec![SessionId(1)] });
    assert_eq!(locks(&state).len(), 0);
    assert_eq!(call(&mut state, acquire(2)), Err(Refused::Exhausted));
}

/// A service that begins anew or from an older copy goes on above what holders may have: its floor is the time of its begin.
#[test]
fn a_floor_keeps_tokens_rising_over_a_restore_from_an_older_copy() {
    let granted = |state: &mut State, client: u64| {
        let call = |number, op| Command::Call { client: ClientId(client), number, done: 0, op };
        let Some(Ok(Done::Opened(session))) =
            state.apply(&call(1, Op::Open { ttl_ms: 1000, name: "x".into() }))
        else {
            panic!("opens")
        };
        let acquire = Op::Acquire { session, lock: format!("lock-{client}"), wait: false };
        match state.apply(&call(2, acquire)) {
            Some(Ok(Done::Granted(token))) => token,
            other => panic!("{other:?}"),
        }
    };
    let mut state = State::default();
    state.apply(&Command::Floor { token: 1_000 });
    let copy = state.snapshot().expect("a snapshot");
    let newest = (1..50).map(|client| granted(&mut state, client)).max().expect("some");
    let mut restored = State::restore(&copy).expect("its own");
    assert!(granted(&mut restored.clone(), 99) <= newest, "without a floor a token comes twice");
    restored.apply(&Command::Floor { token: 2_000 });
    assert!(granted(&mut restored, 99) > newest);
}

#[test]
fn what_a_forgotten_client_asks_again_is_not_done_again() {
    let mut state = State::default();
    let open = |number, done| Command::Call {
        client: ClientId(7),
        number,
        done,
        op: Op::Open { ttl_ms: 1000, name: "x".to_owned() },
    };
    assert!(matches!(state.apply(&open(1, 0)), Some(Ok(_))));
    assert!(matches!(state.apply(&open(2, 1)), Some(Ok(_))));
    assert_eq!(
        state.apply(&open(1, 0)),
        Some(Err(Refused::Forgotten)),
        "it has said that it has that answer"
    );
    state.apply(&Command::ExpireClients { clients: vec![ClientId(7)] });
    assert_eq!(state.apply(&open(2, 1)), Some(Err(Refused::Forgotten)));
    assert_eq!(state.sessions().count(), 2);
}

/// Two clients that drew one id take nothing of each other's for their own.
#[test]
fn a_number_that_was_used_for_something_else_is_told_so() {
    let mut state = State::default();
    let call = |op| Command::Call { client: ClientId(1), number: 1, done: 0, op };
    let open = |name: &str| Op::Open { ttl_ms: 1000, name: name.to_owned() };
    let first = state.apply(&call(open("one")));
    assert_eq!(state.apply(&call(open("one"))), first, "the same again");
    let before = state.snapshot().expect("a snapshot");
    assert!(
        matches!(state.apply(&call(open("two"))), Some(Err(Refused::Bad(why))) if why.starts_with("number"))
    );
    assert_eq!(state.snapshot().expect("a snapshot"), before);
}

/// A watcher that is far behind is told in pieces, without a gap, and each piece is bounded.
#[test]
fn news_are_told_in_bounded_pieces() {
    let mut state = State::default();
    for number in 1..=40 {
        let key = format!("{}{number}", if number % 2 == 0 { "even" } else { "odd" });
        let op = Op::Put { key, value: vec![7; 1000], expect: None, owner: Owner::Nobody };
        state.apply(&Command::Call { client: ClientId(1), number, done: number - 1, op });
    }
    let (mut since, mut told, mut pieces) = (0, Vec::new(), 0);
    while since < state.revision() {
        let Changes::Changes { upto, changes } = state.changes("even", since, 5000) else {
            panic!("not that long ago")
        };
        assert!(upto > since && changes.len() <= 4);
        told.extend(changes.iter().map(|(revision, _)| *revision));
        (since, pieces) = (upto, pieces + 1);
    }
    assert_eq!(told, (1..=20).map(|n| n * 2).collect::<Vec<_>>());
    assert_eq!(pieces, 5);
    assert!(
        matches!(state.changes("even", 0, 1), Changes::Changes { changes, .. } if changes.len() == 1),
        "one at the least"
    );
}
