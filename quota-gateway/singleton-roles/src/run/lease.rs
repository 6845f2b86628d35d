//! The lease of an owned role: what its work may publish, and when it must end.

use super::timing::CALL_TIMEOUT;
use crate::keys::Keys;
use marblecroft_coordination::client::{CallError, Client, Lock};
use marblecroft_coordination::state::{Op, Owner, Refused};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;
use tracing::warn;

/// The result of a publication by an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is published.
    Published,
    /// It may be published now or later.
    Unknown,
    /// The lock is lost, so that nothing is published any more, and the work must end.
    LeaseLost,
}

/// The lease of an owned role, for the work on it.
#[derive(Clone)]
pub struct Lease {
    /// Name of the role.
    pub role: String,
    /// The fencing token that it was acquired under.
    pub token: u64,
    /// Keys of the fleet in the coordination service.
    pub keys: Keys,
    /// Client of the coordination service.
    pub client: Client,
    pub(super) lock: Rc<RefCell<Option<Lock>>>,
    pub(super) finish: watch::Receiver<bool>,
    pub(super) fenced_writes: Rc<Cell<u64>>,
}

impl Lease {
    /// Returns the fencing token, if the lock is still valid now.
    pub fn valid_token(&self) -> Option<u64> {
        self.lock.borrow().as_ref().and_then(Lock::valid_token)
    }

    /// Returns whether the role is to go to another candidate, so that the work must finish and end.
    pub fn should_finish(&self) -> bool {
        *self.finish.borrow()
    }

    /// Publishes a value under the fencing token, in one attempt.
    pub async fn publish(&self, key: String, value: Vec<u8>) -> PublishOutcome {
        let Some(token) = self.valid_token() else { return PublishOutcome::LeaseLost };
        let unknown =
            || if self.valid_token().is_some() { PublishOutcome::Unknown } else { PublishOutcome::LeaseLost };
        let owner = Owner::Lock { name: self.keys.lock(&self.role), token };
        let put = Op::Put { key, value, expect: None, owner };
        // One attempt only: a retry could overwrite a later publication.
        match self.client.call(put, CALL_TIMEOUT).await {
            Ok(_) => PublishOutcome::Published,
            Err(CallError::Refused(Refused::Fenced(_))) => {
                self.fenced_writes.set(self.fenced_writes.get() + 1);
                warn!(duty = %self.role, token, "{}: a word under token {token} came too late and is refused", self.role);
                PublishOutcome::LeaseLost
            }
            // Whether it took effect is unknown; the next publication supersedes it either way.
            Err(CallError::TimedOut) => unknown(),
            Err(e) => {
                warn!(duty = %self.role, "{}: not published: {e}", self.role);
                unknown()
            }
        }
    }

    /// Sleeps for a duration, or until the work must finish.
    pub async fn sleep_until_finish(&mut self, max: Duration) {
        // Both ends of the wait mean the same to the caller, who checks `should_finish`.
        let _ = timeout(max, self.finish.wait_for(|finish| *finish)).await;
    }
}
