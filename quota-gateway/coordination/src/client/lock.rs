//! Locks of a session.

use super::error::CallError;
use super::session::{Session, SessionState};
use super::ATTEMPT_TIMEOUT;
use crate::state::{Changes, Done, Op, Revision, Token};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A lock that this process was granted.
pub struct Lock {
    name: String,
    token: Token,
    session: Rc<SessionState>,
}

impl Lock {
    /// Returns the token to act under, at this moment; `None` once the service may have given the lock to another. Whoever
    /// takes the effect checks the token all the same: this process may stop between here and there.
    pub fn valid_token(&self) -> Option<Token> {
        self.session.is_alive().then_some(self.token)
    }

    /// Returns the token that the lock was granted under.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Gives the lock back.
    ///
    /// # Errors
    ///
    /// See [`CallError`]; the lock is free when its session ends.
    pub async fn release(self, within: Duration) -> Result<(), CallError> {
        let release = Op::Release { session: self.session.id(), lock: self.name };
        self.session.client.execute(release, Some(self.session.cluster()), within).await.map(drop)
    }
}

impl Session {
    /// Acquires a lock, waiting for it in order for at most this long.
    ///
    /// # Errors
    ///
    /// See [`CallError`]. After [`CallError::TimedOut`] the place in the queue is given back.
    pub async fn acquire(&self, lock: &str, within: Duration) -> Result<Lock, CallError> {
        let granted = self.await_grant(lock, Instant::now() + within).await;
        if granted == Err(CallError::TimedOut) {
            // Or it would be granted to nobody who waits; the place may never have been taken.
            let leave = Op::Release { session: self.id(), lock: lock.to_owned() };
            drop(self.call(leave, ATTEMPT_TIMEOUT).await);
        }
        granted.map(|token| Lock { name: lock.to_owned(), token, session: self.0.clone() })
    }

    /// Requests the lock, waits until something has changed, and requests it again.
    async fn await_grant(&self, lock: &str, deadline: Instant) -> Result<Token, CallError> {
        let client = &self.0.client;
        let remaining = || deadline.saturating_duration_since(Instant::now());
        let mut watched_from = None;
        loop {
            let request = Op::Acquire { session: self.id(), lock: lock.to_owned(), wait: true };
            match self.call(request, remaining()).await? {
                Done::Granted(token) => return Ok(token),
                Done::Waiting(_) => {}
                other => {
                    return Err(CallError::Rejected(format!("no reply to a request for a lock: {other:?}")))
                }
            }
            // The session's turn shows as a change of the lock. The revision to watch from is read first; what came before it
            // is seen by the next request.
            watched_from = Some(match watched_from {
                None => client.read(lock, remaining()).await?.0,
                Some(revision) => self.await_change(lock, revision, deadline).await?,
            });
        }
    }

    /// Waits for a change of the lock, and returns the revision to go on from.
    async fn await_change(
        &self,
        lock: &str,
        revision: Revision,
        deadline: Instant,
    ) -> Result<Revision, CallError> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        match bounded(deadline, self.0.client.changes_since(lock, revision, remaining)).await? {
            Changes::Changes { upto, .. } => Ok(upto),
            Changes::Lost { now } => Ok(now),
        }
    }
}

/// The same, but no longer than until the deadline.
async fn bounded<T>(
    deadline: Instant,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    timeout_at(deadline, call).await.unwrap_or(Err(CallError::TimedOut))
}
