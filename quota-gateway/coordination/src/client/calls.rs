//! Operations that take effect once, reads and watches.

use super::error::CallError;
use super::{Client, ATTEMPT_TIMEOUT};
use crate::env::with_rng;
use crate::state::{Changes, ClientId, Done, Op, OperationError, Revision};
use crate::wire::{Request, Response};
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Longest wait of one watch request. If the leader no longer responds, the missing reply shows it after this
/// time.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(2);
/// Polling interval while waiting for the reply to the first call of an incarnation.
const FIRST_CALL_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The identifier under which this client is registered with the service, and the numbers of its calls. A new
/// incarnation begins when the service no longer has this one: after an hour without a call, or after the
/// cluster was created again or restored from a snapshot.
pub(super) struct Incarnation {
    id: ClientId,
    last_number: Cell<u64>,
    /// Numbers of calls that have no reply yet.
    pending: RefCell<BTreeSet<u64>>,
}

impl Incarnation {
    pub(super) fn begin() -> Rc<Incarnation> {
        let id = ClientId(with_rng(|rng| rng.random()));
        Rc::new(Incarnation { id, last_number: Cell::new(0), pending: RefCell::default() })
    }

    fn next_number(&self) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.pending.borrow_mut().insert(number);
        number
    }

    /// Returns the request of a call. It acknowledges the replies below the lowest number that is still
    /// pending.
    fn request(&self, number: u64, op: &Op) -> Request {
        let acknowledged = self.pending.borrow().first().map_or(number, |first| *first) - 1;
        Request::Call { client: self.id, number, acknowledged, op: op.clone() }
    }
}

/// The result of an operation, and the cluster that applied it.
pub(super) struct Executed {
    pub(super) done: Done,
    pub(super) cluster: u64,
}

impl Client {
    /// Calls the service to apply an operation once.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn call(&self, op: Op, within: Duration) -> Result<Done, CallError> {
        self.execute(op, None, within).await.map(|executed| executed.done)
    }

    /// Like [`Client::call`], but only in the given cluster, if there is one: in another cluster, the session
    /// that an operation names would be a different session.
    pub(super) async fn execute(
        &self,
        op: Op,
        only_in: Option<u64>,
        within: Duration,
    ) -> Result<Executed, CallError> {
        let incarnation = self.0.incarnation.borrow().clone();
        let number = incarnation.next_number();
        // The call with number 1 must be the first to arrive, because it registers the client.
        while number > 1 && incarnation.pending.borrow().contains(&1) {
            sleep(FIRST_CALL_POLL_INTERVAL).await;
        }
        let request = |cluster: u64| {
            if only_in.is_some_and(|only| only != cluster) {
                return Err(OperationError::NoSession);
            }
            Ok(incarnation.request(number, &op))
        };
        let reply = self.call_leader(request, ATTEMPT_TIMEOUT, Instant::now() + within).await;
        incarnation.pending.borrow_mut().remove(&number);
        let reply = reply?;
        let Response::Outcome(outcome) = reply.response else {
            return Err(unexpected(&reply.response));
        };
        if outcome == Err(OperationError::Forgotten) && Rc::ptr_eq(&self.0.incarnation.borrow(), &incarnation)
        {
            self.0.incarnation.replace(Incarnation::begin());
        }
        let done = outcome.map_err(CallError::Refused)?;
        Ok(Executed { done, cluster: reply.cluster })
    }

    /// Reads the current values whose keys begin with a prefix, and the revision from which to watch.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn read(
        &self,
        prefix: &str,
        within: Duration,
    ) -> Result<(Revision, Vec<(String, Vec<u8>, Revision)>), CallError> {
        let request = || Request::Read { prefix: prefix.to_owned(), stale: false };
        match self.send_request(request, within).await? {
            Response::Values { revision, values, .. } => Ok((revision, values)),
            other => Err(unexpected(&other)),
        }
    }

    /// Sends an operator's request to the leader.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn send_request(
        &self,
        request: impl Fn() -> Request,
        within: Duration,
    ) -> Result<Response, CallError> {
        let deadline = Instant::now() + within;
        let reply = self.call_leader(|_| Ok(request()), ATTEMPT_TIMEOUT, deadline).await?;
        Ok(reply.response)
    }

    /// Waits for changes after a revision. If there are none in time, the result has no changes, but still
    /// the revision to continue from.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn changes_since(
        &self,
        prefix: &str,
        since: Revision,
        within: Duration,
    ) -> Result<Changes, CallError> {
        let wait = within.min(MAX_WATCH_WAIT);
        let request = |_| {
            Ok(Request::Watch {
                prefix: prefix.to_owned(),
                since,
                wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            })
        };
        let deadline = Instant::now() + within + ATTEMPT_TIMEOUT;
        match self.call_leader(request, wait + ATTEMPT_TIMEOUT, deadline).await?.response {
            Response::Changes(changes) => Ok(changes),
            other => Err(unexpected(&other)),
        }
    }
}

/// Returns the error for a response whose kind does not match the request.
pub(super) fn unexpected(response: &Response) -> CallError {
    CallError::Rejected(format!("unexpected kind of response: {response:?}"))
}
