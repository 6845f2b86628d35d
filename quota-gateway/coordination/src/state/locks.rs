//! Locks with queues and fencing tokens.

use super::bounds;
use super::change::Change;
use super::command::{Done, OperationError, Outcome, SessionId, Token};
use super::tables::State;
use super::validate::{check_name, BUSY_DELAY_MS};

impl State {
    pub(super) fn acquire(&mut self, session: SessionId, name: &str, wait: bool) -> Outcome {
        check_name("lock", name)?;
        self.open_session(session)?;
        match self.locks.get(name).and_then(|lock| lock.holder) {
            // Idempotent: the holder gets its current token.
            Some((holder, token)) if holder == session => Ok(Done::Granted(token)),
            Some((_, token)) if !wait => Err(OperationError::Held(token)),
            Some(_) => self.enqueue(session, name),
            None => self.grant(session, name),
        }
    }

    fn enqueue(&mut self, session: SessionId, name: &str) -> Outcome {
        let lock = self.locks.entry(name.to_owned()).or_default();
        if let Some(position) = lock.waiting.iter().position(|waiting| *waiting == session) {
            return Ok(Done::Waiting(position as u32));
        }
        if lock.waiting.len() >= bounds::MAX_WAITERS {
            return Err(OperationError::Busy(BUSY_DELAY_MS));
        }
        let position = lock.waiting.len() as u32;
        lock.waiting.push_back(session);
        self.open_session(session)?.locks.push(name.to_owned());
        Ok(Done::Waiting(position))
    }

    fn grant(&mut self, session: SessionId, name: &str) -> Outcome {
        if !self.locks.contains_key(name) && self.locks.len() >= bounds::MAX_LOCKS {
            return Err(OperationError::Busy(BUSY_DELAY_MS));
        }
        let token = self.issue_token()?;
        self.open_session(session)?.locks.push(name.to_owned());
        self.locks.entry(name.to_owned()).or_default().holder = Some((session, token));
        self.record(Change::Lock { name: name.to_owned(), holder: Some((session, token)) });
        Ok(Done::Granted(token))
    }

    /// Issues a token that was never issued before. `Token::MAX` is never issued, because no higher token
    /// could follow.
    fn issue_token(&mut self) -> Result<Token, OperationError> {
        if self.last_token >= Token::MAX - 1 {
            return Err(OperationError::Exhausted);
        }
        self.last_token += 1;
        Ok(self.last_token)
    }

    pub(super) fn release(&mut self, session: SessionId, name: &str) -> Outcome {
        let locks = &mut self.open_session(session)?.locks;
        let Some(position) = locks.iter().position(|lock| lock == name) else {
            return Err(OperationError::Fenced(self.current_token(name)));
        };
        locks.remove(position);
        self.detach_from_lock(session, name);
        Ok(Done::Nothing)
    }

    pub(super) fn revoke(&mut self, name: &str) -> Outcome {
        let holder = self.locks.get(name).and_then(|lock| lock.holder);
        let (session, _) = holder.ok_or(OperationError::Fenced(0))?;
        self.release(session, name)
    }

    /// Removes a session from a lock's queue. If the session holds the lock, the lock passes to the first
    /// session in the queue.
    pub(super) fn detach_from_lock(&mut self, session: SessionId, name: &str) {
        let Some(lock) = self.locks.get_mut(name) else { return };
        lock.waiting.retain(|waiting| *waiting != session);
        if lock.holder.is_none_or(|(holder, _)| holder != session) {
            return;
        }
        let next = lock.waiting.pop_front();
        // Once all tokens have been used, the lock stays free.
        let holder = next.and_then(|next| Some((next, self.issue_token().ok()?)));
        self.record(Change::Lock { name: name.to_owned(), holder });
        match (holder, self.locks.get_mut(name)) {
            (Some(_), Some(lock)) => lock.holder = holder,
            _ => drop(self.locks.remove(name)),
        }
    }

    /// Returns the token under which a lock is held, or 0 if it is free.
    fn current_token(&self, name: &str) -> Token {
        self.locks.get(name).and_then(|lock| lock.holder).map_or(0, |(_, token)| token)
    }

    pub(super) fn check_token(&self, name: &str, token: Token) -> Result<(), OperationError> {
        match self.current_token(name) {
            current if current == token && token != 0 => Ok(()),
            current => Err(OperationError::Fenced(current)),
        }
    }
}
