//! Opening, closing and expiry of sessions. The leader decides by its clock when a session has expired; the
//! state machine does not.

use super::bounds;
use super::change::Change;
use super::command::{Done, OperationError, Outcome, SessionId};
use super::tables::{Session, State};
use super::validate::{check_name, BUSY_DELAY_MS};

impl State {
    pub(super) fn open(&mut self, ttl_ms: u32, name: &str) -> Outcome {
        check_name("name", name)?;
        let ttls_ms = bounds::MIN_SESSION_TTL.as_millis()..=bounds::MAX_SESSION_TTL.as_millis();
        if !ttls_ms.contains(&u128::from(ttl_ms)) {
            return Err(OperationError::Bad("ttl_ms".to_owned()));
        }
        if self.sessions.len() >= bounds::MAX_SESSIONS {
            return Err(OperationError::Busy(BUSY_DELAY_MS));
        }
        self.last_session += 1;
        let id = SessionId(self.last_session);
        let session = Session { name: name.to_owned(), ttl_ms, locks: Vec::new(), keys: Vec::new() };
        self.sessions.insert(id, session);
        self.record(Change::Session { id, open: true });
        Ok(Done::Opened(id))
    }

    pub(super) fn close(&mut self, session: SessionId) -> Outcome {
        self.open_session(session)?;
        self.end_session(session);
        Ok(Done::Nothing)
    }

    /// Ends a session: each of its locks passes to the next session in the queue, and its values are deleted.
    pub(super) fn end_session(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        for name in session.locks {
            self.detach_from_lock(id, &name);
        }
        for key in session.keys {
            self.remove_value(&key);
        }
        self.record(Change::Session { id, open: false });
    }
}
