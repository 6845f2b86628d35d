//! The state machine: what all processes of the service agree on, by applying the same commands in the same order.
//!
//! Pure: no clock, no chance, no I/O, no order that depends on a hash. Time enters only as the leader's command that ends a
//! session. The same commands give the same state, byte for byte, whether or not it was written to a snapshot in between.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Rises with every grant for the life of the service.
pub type Token = u64;
/// Rises with every change of the state that a watch can see.
pub type Revision = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// Drawn at random by a client, once for each life of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClientId(pub u64);

/// The format of commands and snapshots. 2: what each kept answer is to.
pub const VERSION: u16 = 2;

/// Bounds of the state. All are part of the machine: processes with other bounds would not agree.
pub mod bounds {
    pub const SESSIONS: usize = 20_000;
    pub const LOCKS: usize = 65_536;
    pub const WAITERS: usize = 1_024;
    pub const CLIENTS: usize = 100_000;
    /// Answers that are kept for a client which has not said that it has them.
    pub const MAX_CACHED_REPLIES: usize = 1_024;
    /// Bytes of all values with their keys.
    pub const VALUE_BYTES: usize = 64 << 20;
    pub const VALUE: usize = 64 << 10;
    pub const NAME: usize = 256;
    pub const BATCH: usize = 64;
    /// Bytes of all values of a batch.
    pub const BATCH_BYTES: usize = 1 << 20;
    /// Changes that watches can go back.
    pub const CHANGES: usize = 16_384;
}

/// Under which condition a value lives on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Owner {
    /// Until it is deleted.
    Nobody,
    /// Written only under this lock's present token.
    Lock { name: String, token: Token },
    /// Gone with the session.
    Session(SessionId),
}

/// What a caller wants. A batch holds no batch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// A session of this length; `name` says whose it is.
    Open {
        ttl_ms: u32,
        name: String,
    },
    Close {
        session: SessionId,
    },
    /// The lock, or a place in its queue where `wait` is set.
    Acquire {
        session: SessionId,
        lock: String,
        wait: bool,
    },
    /// Gives the lock back, or the place in its queue.
    Release {
        session: SessionId,
        lock: String,
    },
    /// An operator takes a lock from whoever holds it.
    Revoke {
        lock: String,
    },
    /// Writes a value; `expect`: only at this revision, 0 for none yet.
    Put {
        key: String,
        value: Vec<u8>,
        expect: Option<Revision>,
        owner: Owner,
    },
    Delete {
        key: String,
        expect: Option<Revision>,
        owner: Owner,
    },
    /// Fails unless the lock is held under this token; for batches.
    Check {
        lock: String,
        token: Token,
    },
    /// All of it, or nothing.
    Batch(Vec<Op>),
}

/// What the log holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A caller's wish. `done`: the client has the answers of all numbers up to this one.
    Call { client: ClientId, number: u64, done: u64, op: Op },
    /// The leader's clock says that these sessions are over.
    End { sessions: Vec<SessionId> },
    /// The service begins, begins anew, or was restored: tokens go on above this.
    Floor { token: Token },
    /// The leader has not heard from these clients for long.
    ExpireClients { clients: Vec<ClientId> },
}

/// What became of a wish that was granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Done {
    Opened(SessionId),
    Granted(Token),
    /// In the queue; so many are before.
    Waiting(u32),
    /// Written at this revision.
    At(Revision),
    Nothing,
    All(Vec<Done>),
}

/// Why a wish was not granted; nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refused {
    /// The session is over, or never was.
    NoSession,
    /// Somebody else has it, under this token.
    Held(Token),
    /// The lock's present token is another one; 0: nobody holds it.
    Fenced(Token),
    /// The value is at another revision; 0: there is none.
    Conflict(Revision),
    /// A bound is reached: come back after this many ms.
    Busy(u32),
    /// A field is out of its bounds: which.
    Bad(String),
    /// The answer to this number is no longer kept, so it is not known here whether it took effect.
    Forgotten,
    /// No token is left.
    Exhausted,
}

pub type Outcome = Result<Done, Refused>;

/// What watches see.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    Value {
        key: String,
        value: Vec<u8>,
    },
    Deleted {
        key: String,
    },
    /// A lock has a holder, or none.
    Lock {
        name: String,
        holder: Option<(SessionId, Token)>,
    },
    Session {
        id: SessionId,
        open: bool,
    },
}

impl Change {
    /// What a prefix is compared with.
    pub fn name(&self) -> &str {
        match self {
            Change::Value { key, .. } | Change::Deleted { key } => key,
            Change::Lock { name, .. } => name,
            Change::Session { .. } => "",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    pub name: String,
    pub ttl_ms: u32,
    /// Locks that it holds or waits for, and values that go with it.
    locks: Vec<String>,
    keys: Vec<String>,
}

impl Session {
    /// Locks that it holds or waits for.
    pub fn locks(&self) -> &[String] {
        &self.locks
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lock {
    pub holder: Option<(SessionId, Token)>,
    pub waiting: VecDeque<SessionId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Value {
    pub value: Vec<u8>,
    pub revision: Revision,
    session: Option<SessionId>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Client {
    /// Answers are kept for numbers above this.
    done: u64,
    answers: BTreeMap<u64, CachedReply>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct CachedReply {
    /// The CRC-32 of what was asked: two clients that drew one id would else take each other's answers for their own.
    request_crc: u32,
    outcome: Outcome,
}

fn sum(op: &Op) -> u32 {
    // Into memory; it cannot fail but for want of it.
    postcard::to_stdvec(op).map_or(0, |bytes| crc32fast::hash(&bytes))
}

/// All that the service knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    revision: Revision,
    next_session: u64,
    next_token: Token,
    sessions: BTreeMap<SessionId, Session>,
    locks: BTreeMap<String, Lock>,
    values: BTreeMap<String, Value>,
    value_bytes: usize,
    clients: BTreeMap<ClientId, Client>,
    changes: VecDeque<(Revision, Change)>,
    /// Changes up to this revision are no longer kept.
    forgotten: Revision,
}

/// What a watch is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Changes {
    /// All changes behind the revision that was asked from, up to this one.
    Changes { upto: Revision, changes: Vec<(Revision, Change)> },
    /// That is too long ago, or of another life: read anew and watch from there.
    Lost { now: Revision },
}

/// When to come back where a bound is reached.
const BUSY_MS: u32 = 500;

impl State {
    /// Applies a command; the outcome of a call, and nothing for the leader's own.
    pub fn apply(&mut self, command: &Command) -> Option<Outcome> {
        let outcome = match command {
            Command::Call { client, number, done, op } => Some(self.call(*client, *number, *done, op)),
            Command::End { sessions } => {
                sessions.iter().for_each(|id| self.end_session(*id));
                None
            }
            Command::Floor { token } => {
                self.next_token = self.next_token.max(*token);
                None
            }
            Command::ExpireClients { clients } => {
                clients.iter().for_each(|client| drop(self.clients.remove(client)));
                None
            }
        };
        self.trim();
        outcome
    }

    /// A call takes effect once, however often it comes.
    fn call(&mut self, id: ClientId, number: u64, done: u64, op: &Op) -> Outcome {
        let crowded = self.clients.len() >= bounds::CLIENTS;
        let asked = sum(op);
        match self.clients.get_mut(&id) {
            Some(client) => {
                if let Some(kept) = client.answers.get(&number) {
                    return match kept.request_crc == asked {
                        true => kept.outcome.clone(),
                        false => Err(Refused::Bad("number: it was used for something else".to_owned())),
                    };
                }
                if number <= client.done {
                    return Err(Refused::Forgotten);
                }
                client.done = client.done.max(done.min(number - 1));
                client.answers = client.answers.split_off(&(client.done + 1));
                if client.answers.len() >= bounds::MAX_CACHED_REPLIES {
                    return Err(Refused::Busy(BUSY_MS));
                }
            }
            // A client that is not known begins with its first number; with another one it was forgotten, and what it
            // asks may have taken effect before that.
            None if number != 1 => return Err(Refused::Forgotten),
            None if crowded => return Err(Refused::Busy(BUSY_MS)),
            None => drop(self.clients.insert(id, Client::default())),
        }
        let outcome = self.apply_atomically(op);
        if let Some(client) = self.clients.get_mut(&id) {
            client.answers.insert(number, CachedReply { request_crc: asked, outcome: outcome.clone() });
        }
        outcome
    }

    /// A batch that fails in its middle leaves nothing behind.
    fn apply_atomically(&mut self, op: &Op) -> Outcome {
        let Op::Batch(ops) = op else { return self.one(op) };
        let bytes: usize =
            ops.iter().map(|op| if let Op::Put { value, .. } = op { value.len() } else { 0 }).sum();
        if ops.len() > bounds::BATCH || bytes > bounds::BATCH_BYTES {
            return Err(Refused::Bad("batch".to_owned()));
        }
        let mut before = Undo::of(self);
        let mut all = Vec::with_capacity(ops.len());
        for op in ops {
            before.before(self, op);
            match self.one(op) {
                Ok(done) => all.push(done),
                Err(refused) => {
                    before.restore(self);
                    return Err(refused);
                }
            }
        }
        Ok(Done::All(all))
    }

    fn one(&mut self, op: &Op) -> Outcome {
        match op {
            Op::Open { ttl_ms, name } => self.open(*ttl_ms, name),
            Op::Close { session } => {
                self.session(*session)?;
                self.end_session(*session);
                Ok(Done::Nothing)
            }
            Op::Acquire { session, lock, wait } => self.acquire(*session, lock, *wait),
            Op::Release { session, lock } => self.release(*session, lock),
            Op::Revoke { lock } => {
                let held = self.locks.get(lock).and_then(|lock| lock.holder);
                let (session, _) = held.ok_or(Refused::Fenced(0))?;
                self.release(session, lock)
            }
            Op::Put { key, value, expect, owner } => self.put(key, value, *expect, owner),
            Op::Delete { key, expect, owner } => self.delete(key, *expect, owner),
            Op::Check { lock, token } => self.check(lock, *token).map(|()| Done::Nothing),
            Op::Batch(_) => Err(Refused::Bad("batch in a batch".to_owned())),
        }
    }

    fn named(field: &str, name: &str) -> Result<(), Refused> {
        match name.is_empty() || name.len() > bounds::NAME {
            true => Err(Refused::Bad(field.to_owned())),
            false => Ok(()),
        }
    }

    fn session(&mut self, id: SessionId) -> Result<&mut Session, Refused> {
        self.sessions.get_mut(&id).ok_or(Refused::NoSession)
    }

    fn open(&mut self, ttl_ms: u32, name: &str) -> Outcome {
        Self::named("name", name)?;
        let (least, most) = (crate::lease::MIN_TTL.as_millis(), crate::lease::MAX_TTL.as_millis());
        if !(least..=most).contains(&u128::from(ttl_ms)) {
            return Err(Refused::Bad("ttl_ms".to_owned()));
        }
        if self.sessions.len() >= bounds::SESSIONS {
            return Err(Refused::Busy(BUSY_MS));
        }
        self.next_session += 1;
        let id = SessionId(self.next_session);
        let session = Session { name: name.to_owned(), ttl_ms, locks: Vec::new(), keys: Vec::new() };
        self.sessions.insert(id, session);
        self.changed(Change::Session { id, open: true });
        Ok(Done::Opened(id))
    }

    /// Ends a session: what it held goes to the next in each queue, and its values are gone.
    fn end_session(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        for name in session.locks {
            self.let_go(id, &name);
        }
        for key in session.keys {
            self.remove(&key);
        }
        self.changed(Change::Session { id, open: false });
    }

    fn acquire(&mut self, session: SessionId, name: &str, wait: bool) -> Outcome {
        Self::named("lock", name)?;
        self.session(session)?;
        let known = self.locks.get(name);
        match known.and_then(|lock| lock.holder) {
            // Asked again by its holder: it has it, under the token that it has.
            Some((holder, token)) if holder == session => return Ok(Done::Granted(token)),
            Some((_, token)) if !wait => return Err(Refused::Held(token)),
            Some(_) => {
                let lock = self.locks.entry(name.to_owned()).or_default();
                if let Some(before) = lock.waiting.iter().position(|waiting| *waiting == session) {
                    return Ok(Done::Waiting(before as u32));
                }
                if lock.waiting.len() >= bounds::WAITERS {
                    return Err(Refused::Busy(BUSY_MS));
                }
                lock.waiting.push_back(session);
                let before = lock.waiting.len() as u32 - 1;
                self.session(session)?.locks.push(name.to_owned());
                return Ok(Done::Waiting(before));
            }
            None => {}
        }
        if known.is_none() && self.locks.len() >= bounds::LOCKS {
            return Err(Refused::Busy(BUSY_MS));
        }
        let token = self.token()?;
        self.session(session)?.locks.push(name.to_owned());
        self.locks.entry(name.to_owned()).or_default().holder = Some((session, token));
        self.changed(Change::Lock { name: name.to_owned(), holder: Some((session, token)) });
        Ok(Done::Granted(token))
    }

    /// A token that nobody ever had. The last one is never given: nothing could pass it.
    fn token(&mut self) -> Result<Token, Refused> {
        if self.next_token >= Token::MAX - 1 {
            return Err(Refused::Exhausted);
        }
        self.next_token += 1;
        Ok(self.next_token)
    }

    fn release(&mut self, session: SessionId, name: &str) -> Outcome {
        let locks = &mut self.session(session)?.locks;
        let Some(place) = locks.iter().position(|lock| lock == name) else {
            return Err(Refused::Fenced(self.present(name)));
        };
        locks.remove(place);
        self.let_go(session, name);
        Ok(Done::Nothing)
    }

    /// A session that is no longer the lock's: the next one in the queue has it.
    fn let_go(&mut self, session: SessionId, name: &str) {
        let Some(lock) = self.locks.get_mut(name) else { return };
        lock.waiting.retain(|waiting| *waiting != session);
        if lock.holder.is_none_or(|(holder, _)| holder != session) {
            return;
        }
        let next = lock.waiting.pop_front();
        // Without a token left nobody has it any more.
        let holder = next.and_then(|next| Some((next, self.token().ok()?)));
        self.changed(Change::Lock { name: name.to_owned(), holder });
        match (holder, self.locks.get_mut(name)) {
            (Some(_), Some(lock)) => lock.holder = holder,
            _ => drop(self.locks.remove(name)),
        }
    }

    /// The token under which a lock is held; 0 for none.
    fn present(&self, name: &str) -> Token {
        self.locks.get(name).and_then(|lock| lock.holder).map_or(0, |(_, token)| token)
    }

    fn check(&self, name: &str, token: Token) -> Result<(), Refused> {
        match self.present(name) {
            present if present == token && token != 0 => Ok(()),
            present => Err(Refused::Fenced(present)),
        }
    }

    /// Whether whoever writes may.
    fn may(&mut self, key: &str, expect: Option<Revision>, owner: &Owner) -> Result<(), Refused> {
        Self::named("key", key)?;
        match owner {
            Owner::Nobody => {}
            Owner::Lock { name, token } => self.check(name, *token)?,
            Owner::Session(id) => drop(self.session(*id)?),
        }
        let at = self.values.get(key).map_or(0, |value| value.revision);
        match expect.is_some_and(|expect| expect != at) {
            true => Err(Refused::Conflict(at)),
            false => Ok(()),
        }
    }

    fn put(&mut self, key: &str, value: &[u8], expect: Option<Revision>, owner: &Owner) -> Outcome {
        if value.len() > bounds::VALUE {
            return Err(Refused::Bad("value".to_owned()));
        }
        self.may(key, expect, owner)?;
        let old = self.values.get(key).map_or(0, |old| old.value.len() + key.len());
        let bytes = self.value_bytes - old + value.len() + key.len();
        if bytes > bounds::VALUE_BYTES {
            return Err(Refused::Busy(BUSY_MS));
        }
        self.disown(key);
        let session = if let Owner::Session(id) = owner { Some(*id) } else { None };
        if let Some(id) = session {
            self.session(id)?.keys.push(key.to_owned());
        }
        self.changed(Change::Value { key: key.to_owned(), value: value.to_owned() });
        let revision = self.revision;
        self.values.insert(key.to_owned(), Value { value: value.to_owned(), revision, session });
        self.value_bytes = bytes;
        Ok(Done::At(revision))
    }

    fn delete(&mut self, key: &str, expect: Option<Revision>, owner: &Owner) -> Outcome {
        self.may(key, expect, owner)?;
        if !self.values.contains_key(key) {
            return Err(Refused::Conflict(0));
        }
        self.disown(key);
        self.remove(key);
        Ok(Done::At(self.revision))
    }

    /// The session that a value would have gone with no longer knows of it.
    fn disown(&mut self, key: &str) {
        let owner = self.values.get(key).and_then(|value| value.session);
        if let Some(session) = owner.and_then(|id| self.sessions.get_mut(&id)) {
            session.keys.retain(|of| of != key);
        }
    }

    fn remove(&mut self, key: &str) {
        if let Some(value) = self.values.remove(key) {
            self.value_bytes -= value.value.len() + key.len();
            self.changed(Change::Deleted { key: key.to_owned() });
        }
    }

    fn changed(&mut self, change: Change) {
        self.revision += 1;
        self.changes.push_back((self.revision, change));
    }

    /// Forgets the oldest changes; after a command, so that a batch that fails has none to bring back.
    fn trim(&mut self) {
        while self.changes.len() > bounds::CHANGES {
            self.forgotten = self.changes.pop_front().map_or(self.forgotten, |(revision, _)| revision);
        }
    }

    pub fn revision(&self) -> Revision {
        self.revision
    }

    pub fn sessions(&self) -> impl Iterator<Item = (SessionId, &Session)> {
        self.sessions.iter().map(|(id, session)| (*id, session))
    }

    pub fn has_session(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    pub fn locks(&self) -> impl Iterator<Item = (&str, &Lock)> {
        self.locks.iter().map(|(name, lock)| (name.as_str(), lock))
    }

    pub fn value(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }

    /// Values whose keys begin so, and from which revision to watch on.
    pub fn read(&self, prefix: &str) -> (Revision, Vec<(&str, &Value)>) {
        let from = self.values.range(prefix.to_owned()..);
        let values = from.take_while(|(key, _)| key.starts_with(prefix));
        (self.revision, values.map(|(key, value)| (key.as_str(), value)).collect())
    }

    /// Whether there is anything to tell behind a revision, of all whose name begins so.
    pub fn has_changes(&self, prefix: &str, since: Revision) -> bool {
        since < self.forgotten || since > self.revision || self.behind(prefix, since).next().is_some()
    }

    fn behind<'a>(
        &'a self,
        prefix: &'a str,
        since: Revision,
    ) -> impl Iterator<Item = &'a (Revision, Change)> + 'a {
        let from = self.changes.partition_point(|(revision, _)| *revision <= since);
        self.changes.range(from..).filter(move |(_, change)| change.name().starts_with(prefix))
    }

    /// What has changed behind a revision, of all whose name begins so: up to about so many bytes, and the rest when it is
    /// asked for from there.
    pub fn changes(&self, prefix: &str, since: Revision, most: usize) -> Changes {
        if since < self.forgotten || since > self.revision {
            return Changes::Lost { now: self.revision };
        }
        let (mut bytes, mut upto, mut changes) = (0, self.revision, Vec::new());
        for (revision, change) in self.behind(prefix, since) {
            let value = if let Change::Value { value, .. } = change { value.len() } else { 0 };
            bytes += change.name().len() + value + 32;
            if bytes > most && !changes.is_empty() {
                upto = changes.last().map_or(since, |(revision, _)| *revision);
                break;
            }
            changes.push((*revision, change.clone()));
        }
        Changes::Changes { upto, changes }
    }

    /// The highest token that was ever given, or that tokens go on above.
    pub fn token_floor(&self) -> Token {
        self.next_token
    }

    /// All of it as bytes: the version, and the state in `postcard`.
    pub fn snapshot(&self) -> Result<Vec<u8>, String> {
        postcard::to_extend(self, VERSION.to_le_bytes().to_vec()).map_err(|e| e.to_string())
    }

    /// The state of a snapshot; the error says why it is none.
    pub fn restore(bytes: &[u8]) -> Result<State, String> {
        match bytes.split_first_chunk::<2>() {
            Some((version, rest)) if u16::from_le_bytes(*version) == VERSION => {
                match postcard::take_from_bytes(rest) {
                    Ok((state, [])) => Ok(state),
                    Ok(_) => Err("bytes follow on the state".to_owned()),
                    Err(e) => Err(format!("no state: {e}")),
                }
            }
            Some(_) => Err("a version that this program does not read".to_owned()),
            None => Err("too short for a snapshot".to_owned()),
        }
    }
}

/// What a batch's wishes have changed, as it was before, to be set back where a later one of them fails.
struct Undo {
    revision: Revision,
    next_session: u64,
    next_token: Token,
    value_bytes: usize,
    changes: usize,
    sessions: BTreeMap<SessionId, Option<Session>>,
    locks: BTreeMap<String, Option<Lock>>,
    values: BTreeMap<String, Option<Value>>,
}

impl Undo {
    fn of(state: &State) -> Undo {
        Undo {
            revision: state.revision,
            next_session: state.next_session,
            next_token: state.next_token,
            value_bytes: state.value_bytes,
            changes: state.changes.len(),
            sessions: BTreeMap::new(),
            locks: BTreeMap::new(),
            values: BTreeMap::new(),
        }
    }

    /// Keeps what a wish may change, before it does.
    fn before(&mut self, state: &State, op: &Op) {
        match op {
            // What a new session is, nothing was before it.
            Op::Open { .. } => drop(self.sessions.insert(SessionId(state.next_session + 1), None)),
            Op::Close { session } => self.session(state, *session),
            Op::Acquire { session, lock, .. } | Op::Release { session, lock } => {
                self.session(state, *session);
                self.lock(state, lock);
            }
            Op::Revoke { lock } => {
                let holder = state.locks.get(lock).and_then(|lock| lock.holder);
                holder.into_iter().for_each(|(session, _)| self.session(state, session));
                self.lock(state, lock);
            }
            Op::Put { key, owner, .. } | Op::Delete { key, owner, .. } => {
                let old = state.values.get(key).and_then(|value| value.session);
                old.into_iter().for_each(|session| self.session(state, session));
                if let Owner::Session(session) = owner {
                    self.session(state, *session);
                }
                self.value(state, key);
            }
            Op::Check { .. } | Op::Batch(_) => {}
        }
    }

    /// A session with all that ends with it.
    fn session(&mut self, state: &State, id: SessionId) {
        let session = state.sessions.get(&id);
        for lock in session.iter().flat_map(|session| &session.locks) {
            self.lock(state, lock);
        }
        for key in session.iter().flat_map(|session| &session.keys) {
            self.value(state, key);
        }
        self.sessions.entry(id).or_insert_with(|| session.cloned());
    }

    fn lock(&mut self, state: &State, name: &str) {
        self.locks.entry(name.to_owned()).or_insert_with(|| state.locks.get(name).cloned());
    }

    fn value(&mut self, state: &State, key: &str) {
        self.values.entry(key.to_owned()).or_insert_with(|| state.values.get(key).cloned());
    }

    fn restore(self, state: &mut State) {
        fn set_back<K: Ord, V>(into: &mut BTreeMap<K, V>, before: BTreeMap<K, Option<V>>) {
            for (key, before) in before {
                match before {
                    Some(before) => drop(into.insert(key, before)),
                    None => drop(into.remove(&key)),
                }
            }
        }
        state.revision = self.revision;
        state.next_session = self.next_session;
        state.next_token = self.next_token;
        state.value_bytes = self.value_bytes;
        state.changes.truncate(self.changes);
        set_back(&mut state.sessions, self.sessions);
        set_back(&mut state.locks, self.locks);
        set_back(&mut state.values, self.values);
    }
}
