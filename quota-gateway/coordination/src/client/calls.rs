//! Operations that take effect once, reads and watches.

use super::error::CallError;
use super::{Client, ATTEMPT_TIMEOUT};
use crate::env::chance;
use crate::state::{Changes, ClientId, Done, Op, Refused, Revision};
use crate::wire::{Request, Response};
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// A watch without changes returns after this time: a leader that has fallen silent is noticed by the missing reply.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(2);
/// Pause between two looks at whether the first call of an incarnation has its reply.
const FIRST_CALL_INTERVAL: Duration = Duration::from_millis(1);

/// What the service knows this client by, and the numbers of its calls. Another one begins where the service has forgotten
/// this one: after an hour without a call, or as the service began anew or was restored from a copy.
pub(super) struct Incarnation {
    id: ClientId,
    last_number: Cell<u64>,
    /// Numbers of calls that have no reply yet.
    pending: RefCell<BTreeSet<u64>>,
}

impl Incarnation {
    pub(super) fn begin() -> Rc<Incarnation> {
        let id = ClientId(chance(|rng| rng.random()));
        Rc::new(Incarnation { id, last_number: Cell::new(0), pending: RefCell::default() })
    }

    fn next_number(&self) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.pending.borrow_mut().insert(number);
        number
    }

    /// The request; it tells up to which number all replies are here.
    fn request(&self, number: u64, op: &Op) -> Request {
        let done = self.pending.borrow().first().map_or(number, |first| *first) - 1;
        Request::Call { client: self.id, number, done, op: op.clone() }
    }
}

/// The result of an operation, and the cluster that carried it out.
pub(super) struct Executed {
    pub(super) done: Done,
    pub(super) cluster: u64,
}

impl Client {
    /// Has an operation carried out, once.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn call(&self, op: Op, within: Duration) -> Result<Done, CallError> {
        self.execute(op, None, within).await.map(|executed| executed.done)
    }

    /// The same, in one cluster only where one is given: an operation that names a session means another one elsewhere.
    pub(super) async fn execute(
        &self,
        op: Op,
        only_in: Option<u64>,
        within: Duration,
    ) -> Result<Executed, CallError> {
        let incarnation = self.0.incarnation.borrow().clone();
        let number = incarnation.next_number();
        // The first number must come first: the service knows a client by it.
        while number > 1 && incarnation.pending.borrow().contains(&1) {
            sleep(FIRST_CALL_INTERVAL).await;
        }
        let request = |cluster: u64| {
            if only_in.is_some_and(|only| only != cluster) {
                return Err(Refused::NoSession);
            }
            Ok(incarnation.request(number, &op))
        };
        let reply = self.call_leader(request, ATTEMPT_TIMEOUT, Instant::now() + within).await;
        incarnation.pending.borrow_mut().remove(&number);
        let reply = reply?;
        let Response::Outcome(outcome) = reply.response else {
            return Err(unexpected(&reply.response));
        };
        if outcome == Err(Refused::Forgotten) && Rc::ptr_eq(&self.0.incarnation.borrow(), &incarnation) {
            self.0.incarnation.replace(Incarnation::begin());
        }
        let done = outcome.map_err(CallError::Refused)?;
        Ok(Executed { done, cluster: reply.cluster })
    }

    /// Reads the values whose keys begin with a prefix, as of now, and the revision to watch on from.
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

    /// Waits for changes behind a revision; there may be none, and then the revision to go on from is returned.
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

/// The error for a reply of another kind than the request's.
pub(super) fn unexpected(response: &Response) -> CallError {
    CallError::Rejected(format!("an answer of another kind: {response:?}"))
}
