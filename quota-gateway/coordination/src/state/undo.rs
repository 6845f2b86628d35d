//! Rollback of a batch in which an operation fails. Only the entries that the batch touches are copied, so
//! the cost does not grow with the size of the state.

use super::command::{Op, Owner, Revision, SessionId, Token};
use super::tables::{Lock, Session, State, Value};
use std::collections::BTreeMap;

/// The entries that the operations of a batch change, as they were before the batch.
pub(super) struct UndoLog {
    revision: Revision,
    last_session: u64,
    last_token: Token,
    value_bytes: usize,
    change_count: usize,
    sessions: BTreeMap<SessionId, Option<Session>>,
    locks: BTreeMap<String, Option<Lock>>,
    values: BTreeMap<String, Option<Value>>,
}

impl UndoLog {
    pub(super) fn begin(state: &State) -> UndoLog {
        UndoLog {
            revision: state.revision,
            last_session: state.last_session,
            last_token: state.last_token,
            value_bytes: state.value_bytes,
            change_count: state.changes.len(),
            sessions: BTreeMap::new(),
            locks: BTreeMap::new(),
            values: BTreeMap::new(),
        }
    }

    /// Saves the entries that an operation may change. Must be called before the operation.
    pub(super) fn save(&mut self, state: &State, op: &Op) {
        match op {
            // The id that the new session will get; it is unused before the operation.
            Op::Open { .. } => drop(self.sessions.insert(SessionId(state.last_session + 1), None)),
            Op::Close { session } => self.save_session(state, *session),
            Op::Acquire { session, lock, .. } | Op::Release { session, lock } => {
                self.save_session(state, *session);
                self.save_lock(state, lock);
            }
            Op::Revoke { lock } => {
                let holder = state.locks.get(lock).and_then(|lock| lock.holder);
                holder.into_iter().for_each(|(session, _)| self.save_session(state, session));
                self.save_lock(state, lock);
            }
            Op::Put { key, owner, .. } | Op::Delete { key, owner, .. } => {
                let old = state.values.get(key).and_then(|value| value.session);
                old.into_iter().for_each(|session| self.save_session(state, session));
                if let Owner::Session(session) = owner {
                    self.save_session(state, *session);
                }
                self.save_value(state, key);
            }
            Op::Check { .. } | Op::Batch(_) => {}
        }
    }

    /// Saves a session together with the locks and values that its end changes.
    fn save_session(&mut self, state: &State, id: SessionId) {
        let session = state.sessions.get(&id);
        for lock in session.iter().flat_map(|session| &session.locks) {
            self.save_lock(state, lock);
        }
        for key in session.iter().flat_map(|session| &session.keys) {
            self.save_value(state, key);
        }
        self.sessions.entry(id).or_insert_with(|| session.cloned());
    }

    fn save_lock(&mut self, state: &State, name: &str) {
        self.locks.entry(name.to_owned()).or_insert_with(|| state.locks.get(name).cloned());
    }

    fn save_value(&mut self, state: &State, key: &str) {
        self.values.entry(key.to_owned()).or_insert_with(|| state.values.get(key).cloned());
    }

    pub(super) fn roll_back(self, state: &mut State) {
        fn restore<K: Ord, V>(table: &mut BTreeMap<K, V>, saved: BTreeMap<K, Option<V>>) {
            for (key, saved) in saved {
                match saved {
                    Some(saved) => drop(table.insert(key, saved)),
                    None => drop(table.remove(&key)),
                }
            }
        }
        state.revision = self.revision;
        state.last_session = self.last_session;
        state.last_token = self.last_token;
        state.value_bytes = self.value_bytes;
        state.changes.truncate(self.change_count);
        restore(&mut state.sessions, self.sessions);
        restore(&mut state.locks, self.locks);
        restore(&mut state.values, self.values);
    }
}
