//! Tables of the replicated state, and read access to them.

use super::change::Change;
use super::command::{ClientId, OperationError, Outcome, Revision, SessionId, Token};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// An open session.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// The owner's name, for operators.
    pub name: String,
    /// Time to live in milliseconds.
    pub ttl_ms: u32,
    /// Locks that the session holds or waits for, in the order of its requests.
    pub(super) locks: Vec<String>,
    /// Keys of the values that are deleted when the session ends.
    pub(super) keys: Vec<String>,
}

impl Session {
    /// Locks that the session holds or waits for, in the order of its requests.
    pub fn locks(&self) -> &[String] {
        &self.locks
    }
}

/// A lock that is held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lock {
    /// The session that holds it, and its token.
    pub holder: Option<(SessionId, Token)>,
    /// The sessions that wait for the lock, in the order in which they are served.
    pub waiting: VecDeque<SessionId>,
}

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Value {
    /// The bytes of the value.
    pub value: Vec<u8>,
    /// The revision of its last write.
    pub revision: Revision,
    /// The session whose end deletes the value, if any.
    pub(super) session: Option<SessionId>,
}

/// Cached replies to a client's calls. With them, a call that is sent again takes effect only once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Client {
    /// The highest acknowledged number; only replies to higher numbers are cached.
    pub(super) acknowledged: u64,
    pub(super) replies: BTreeMap<u64, CachedReply>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct CachedReply {
    /// The CRC-32 of the operation. Without it, two clients that drew the same id would get each other's
    /// replies.
    pub(super) request_crc: u32,
    pub(super) outcome: Outcome,
}

/// The state on which all replicas agree. The order of the fields is part of the snapshot format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    pub(super) revision: Revision,
    pub(super) last_session: u64,
    /// The highest token that was granted, or the floor if that is higher. Later tokens are above it.
    pub(super) last_token: Token,
    pub(super) sessions: BTreeMap<SessionId, Session>,
    pub(super) locks: BTreeMap<String, Lock>,
    pub(super) values: BTreeMap<String, Value>,
    /// Total size of all values and their keys, in bytes.
    pub(super) value_bytes: usize,
    pub(super) clients: BTreeMap<ClientId, Client>,
    pub(super) changes: VecDeque<(Revision, Change)>,
    /// Changes up to this revision are no longer retained.
    pub(super) compacted: Revision,
}

impl State {
    /// Returns the revision of the latest change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all open sessions.
    pub fn sessions(&self) -> impl Iterator<Item = (SessionId, &Session)> {
        self.sessions.iter().map(|(id, session)| (*id, session))
    }

    /// Returns whether a session is open.
    pub fn has_session(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    /// Returns all locks that are held.
    pub fn locks(&self) -> impl Iterator<Item = (&str, &Lock)> {
        self.locks.iter().map(|(name, lock)| (name.as_str(), lock))
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }

    /// Returns the values of all keys with this prefix, and the revision from which to watch.
    pub fn read(&self, prefix: &str) -> (Revision, Vec<(&str, &Value)>) {
        let from = self.values.range(prefix.to_owned()..);
        let values = from.take_while(|(key, _)| key.starts_with(prefix));
        (self.revision, values.map(|(key, value)| (key.as_str(), value)).collect())
    }

    /// Returns the highest token that was granted, or the floor if that is higher. Later tokens are above it.
    pub fn token_floor(&self) -> Token {
        self.last_token
    }

    pub(super) fn open_session(&mut self, id: SessionId) -> Result<&mut Session, OperationError> {
        self.sessions.get_mut(&id).ok_or(OperationError::NoSession)
    }
}
