//! The lease of an owned role. It publishes values while the lock is valid, and signals when the work must
//! end.

use super::timing::CALL_TIMEOUT;
use crate::keys::Keys;
use marblecroft_coordination::client::{CallError, Client, Lock};
use marblecroft_coordination::state::{Op, OperationError, Owner};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;
use tracing::warn;

/// The result of a publication by an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The value is published.
    Published,
    /// The result is unknown: the value may have been published or may be published later.
    Unknown,
    /// The lock is lost. Nothing more can be published, and the work must end.
    LeaseLost,
}

/// The lease of an owned role. It is passed to the work of the role.
#[derive(Clone)]
pub struct Lease {
    /// Name of the role.
    pub role: String,
    /// The fencing token of the lock.
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
    /// Returns the fencing token if the lock is still valid.
    pub fn valid_token(&self) -> Option<u64> {
        self.lock.borrow().as_ref().and_then(Lock::valid_token)
    }

    /// Returns whether the work must finish, because the role is assigned to another candidate.
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
            Err(CallError::Refused(OperationError::Fenced(_))) => {
                self.fenced_writes.set(self.fenced_writes.get() + 1);
                warn!(duty = %self.role, token,
                    "{}: a publication under token {token} came too late and is refused", self.role);
                PublishOutcome::LeaseLost
            }
            // It is unknown whether the write took effect. The next publication supersedes it in either case.
            Err(CallError::TimedOut) => unknown(),
            Err(e) => {
                warn!(duty = %self.role, "{}: failed to publish: {e}", self.role);
                unknown()
            }
        }
    }

    /// Sleeps for a duration, or until the work must finish.
    pub async fn sleep_until_finish(&mut self, max: Duration) {
        // The caller checks `should_finish`, so it does not matter why the wait ended.
        let _ = timeout(max, self.finish.wait_for(|finish| *finish)).await;
    }
}
