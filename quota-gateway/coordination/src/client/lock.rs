//! Locks of a session.

use super::error::CallError;
use super::session::{Session, SessionState};
use super::ATTEMPT_TIMEOUT;
use crate::state::{Changes, Done, Op, Revision, Token};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A lock that was granted to a session of this process.
pub struct Lock {
    name: String,
    token: Token,
    session: Rc<SessionState>,
}

impl Lock {
    /// Returns the token while the lock is certainly held, or `None` once the service may have granted the
    /// lock to another session. The resource must check the token nevertheless: this process may be suspended
    /// between this check and the effect.
    pub fn valid_token(&self) -> Option<Token> {
        self.session.is_alive().then_some(self.token)
    }

    /// Returns the token under which the lock was granted, even if the lock is no longer held.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Releases the lock.
    ///
    /// # Errors
    ///
    /// See [`CallError`]. After an error, the lock is released at the latest when its session ends.
    pub async fn release(self, within: Duration) -> Result<(), CallError> {
        let release = Op::Release { session: self.session.id(), lock: self.name };
        self.session.client.execute(release, Some(self.session.cluster()), within).await.map(drop)
    }
}

impl Session {
    /// Acquires a lock, waiting in its queue for at most this long.
    ///
    /// # Errors
    ///
    /// See [`CallError`]. After [`CallError::TimedOut`], the session is removed from the queue.
    pub async fn acquire(&self, lock: &str, within: Duration) -> Result<Lock, CallError> {
        let granted = self.await_grant(lock, Instant::now() + within).await;
        if granted == Err(CallError::TimedOut) {
            // Otherwise the lock could be granted to a session that no longer waits for it. The release may
            // fail, as the session may never have been queued.
            let leave = Op::Release { session: self.id(), lock: lock.to_owned() };
            drop(self.call(leave, ATTEMPT_TIMEOUT).await);
        }
        granted.map(|token| Lock { name: lock.to_owned(), token, session: self.0.clone() })
    }

    /// Requests the lock, waits for a change of it, and requests it again, until it is granted.
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
                    return Err(CallError::Rejected(format!(
                        "unexpected result for a lock request: {other:?}"
                    )))
                }
            }
            // A grant to this session is reported as a change of the lock. The revision to watch from is read
            // before the next request, so that this request sees every earlier change.
            watched_from = Some(match watched_from {
                None => client.read(lock, remaining()).await?.0,
                Some(revision) => self.await_change(lock, revision, deadline).await?,
            });
        }
    }

    /// Waits for a change of the lock, and returns the revision to continue from.
    async fn await_change(
        &self,
        lock: &str,
        revision: Revision,
        deadline: Instant,
    ) -> Result<Revision, CallError> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        match bounded(deadline, self.0.client.changes_since(lock, revision, remaining)).await? {
            Changes::Changes { last_revision, .. } => Ok(last_revision),
            Changes::Lost { now } => Ok(now),
        }
    }
}

/// Runs a call until the deadline, and returns [`CallError::TimedOut`] after it.
async fn bounded<T>(
    deadline: Instant,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    timeout_at(deadline, call).await.unwrap_or(Err(CallError::TimedOut))
}
