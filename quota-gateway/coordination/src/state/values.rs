//! Values: conditional writes, and values that are deleted when their session ends.

use super::bounds;
use super::change::Change;
use super::command::{Done, OperationError, Outcome, Owner, Revision};
use super::tables::{State, Value};
use super::validate::{check_name, BUSY_DELAY_MS};

impl State {
    pub(super) fn put(
        &mut self,
        key: &str,
        value: &[u8],
        expect: Option<Revision>,
        owner: &Owner,
    ) -> Outcome {
        if value.len() > bounds::MAX_VALUE_BYTES {
            return Err(OperationError::Bad("value".to_owned()));
        }
        self.check_write(key, expect, owner)?;
        let old = self.values.get(key).map_or(0, |old| old.value.len() + key.len());
        let bytes = self.value_bytes - old + value.len() + key.len();
        if bytes > bounds::MAX_TOTAL_VALUE_BYTES {
            return Err(OperationError::Busy(BUSY_DELAY_MS));
        }
        self.detach_from_session(key);
        let session = if let Owner::Session(id) = owner { Some(*id) } else { None };
        if let Some(id) = session {
            self.open_session(id)?.keys.push(key.to_owned());
        }
        self.record(Change::Value { key: key.to_owned(), value: value.to_owned() });
        let revision = self.revision;
        self.values.insert(key.to_owned(), Value { value: value.to_owned(), revision, session });
        self.value_bytes = bytes;
        Ok(Done::At(revision))
    }

    pub(super) fn delete(&mut self, key: &str, expect: Option<Revision>, owner: &Owner) -> Outcome {
        self.check_write(key, expect, owner)?;
        if !self.values.contains_key(key) {
            return Err(OperationError::Conflict(0));
        }
        self.detach_from_session(key);
        self.remove_value(key);
        Ok(Done::At(self.revision))
    }

    /// Checks the conditions of a write or a deletion.
    fn check_write(
        &mut self,
        key: &str,
        expect: Option<Revision>,
        owner: &Owner,
    ) -> Result<(), OperationError> {
        check_name("key", key)?;
        match owner {
            Owner::Nobody => {}
            Owner::Lock { name, token } => self.check_token(name, *token)?,
            Owner::Session(id) => drop(self.open_session(*id)?),
        }
        let current = self.values.get(key).map_or(0, |value| value.revision);
        match expect.is_some_and(|expect| expect != current) {
            true => Err(OperationError::Conflict(current)),
            false => Ok(()),
        }
    }

    /// Detaches a value from the session that wrote it, so that the end of the session no longer deletes the
    /// value.
    fn detach_from_session(&mut self, key: &str) {
        let owner = self.values.get(key).and_then(|value| value.session);
        if let Some(session) = owner.and_then(|id| self.sessions.get_mut(&id)) {
            session.keys.retain(|owned| owned != key);
        }
    }

    pub(super) fn remove_value(&mut self, key: &str) {
        if let Some(value) = self.values.remove(key) {
            self.value_bytes -= value.value.len() + key.len();
            self.record(Change::Deleted { key: key.to_owned() });
        }
    }
}
