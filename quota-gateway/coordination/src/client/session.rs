//! Sessions, and the task that renews all sessions of a client.
//!
//! A cluster numbers its sessions from 1. After the cluster is created again or restored from a snapshot, a
//! number of the earlier cluster may belong to another owner. A session is therefore valid only in the
//! cluster that opened it.

use super::error::CallError;
use super::Client;
use crate::env::with_rng;
use crate::lease::HeldLease;
use crate::state::{Done, Op, SessionId, Token};
use crate::wire::{Request, Response};
use rand::Rng;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Number of renewals of a session within its time to live.
const RENEWALS_PER_TTL: u32 = 4;

/// A session's number and the cluster that opened it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SessionKey {
    cluster: u64,
    id: SessionId,
}

/// The sessions of a client that are renewed, unless they have been dropped.
pub(super) type SessionTable = BTreeMap<SessionKey, Weak<SessionState>>;

/// The state that a session shares with its locks and with the renewal task.
pub(super) struct SessionState {
    pub(super) client: Client,
    key: SessionKey,
    ttl: Duration,
    /// The time until which the session is certainly open. The token of this lease is unused.
    lease: Cell<HeldLease>,
    has_ended: Cell<bool>,
    has_stopped_renewing: Cell<bool>,
}

impl SessionState {
    pub(super) fn id(&self) -> SessionId {
        self.key.id
    }

    /// The cluster that opened the session.
    pub(super) fn cluster(&self) -> u64 {
        self.key.cluster
    }

    /// Returns whether the session is certainly open.
    pub(super) fn is_alive(&self) -> bool {
        !self.has_ended.get() && self.lease.get().valid_token(self.client.now()).is_some()
    }

    fn is_renewed(&self) -> bool {
        !self.has_ended.get() && !self.has_stopped_renewing.get()
    }
}

/// A session of this process. It is renewed until it and all of its locks are dropped, and expires after
/// that.
pub struct Session(pub(super) Rc<SessionState>);

impl Session {
    /// Returns the session's number, which is unique in its cluster.
    pub fn id(&self) -> SessionId {
        self.0.id()
    }

    /// Stops renewing the session, so that it expires. Its locks remain valid until its lease ends.
    pub fn stop_renewing(&self) {
        self.0.has_stopped_renewing.set(true);
    }

    /// Returns whether the session is certainly open.
    pub fn is_alive(&self) -> bool {
        self.0.is_alive()
    }

    /// Calls the service to apply an operation that names this session. It is applied at most once.
    ///
    /// # Errors
    ///
    /// See [`CallError`]. The error is
    /// [`OperationError::NoSession`](crate::state::OperationError::NoSession) if the cluster was created
    /// again or restored since the session was opened.
    pub async fn call(&self, op: Op, within: Duration) -> Result<Done, CallError> {
        let executed = self.0.client.execute(op, Some(self.0.cluster()), within).await?;
        Ok(executed.done)
    }

    /// Ends the session now, which releases its locks at once.
    ///
    /// # Errors
    ///
    /// See [`CallError`]. After an error, the session expires after its time to live.
    pub async fn close(self, within: Duration) -> Result<(), CallError> {
        self.0.has_ended.set(true);
        self.call(Op::Close { session: self.id() }, within).await.map(drop)
    }
}

impl Client {
    /// Opens a session. It is renewed until it is dropped or has ended.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn session(&self, name: &str, ttl: Duration, within: Duration) -> Result<Session, CallError> {
        let ttl_ms = u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX);
        let requested_at = self.now();
        let opened = self.execute(Op::Open { ttl_ms, name: name.to_owned() }, None, within).await?;
        let Done::Opened(id) = opened.done else {
            return Err(CallError::Rejected("unexpected result for a request to open a session".to_owned()));
        };
        let key = SessionKey { cluster: opened.cluster, id };
        let state = Rc::new(SessionState {
            client: self.clone(),
            key,
            ttl,
            lease: Cell::new(HeldLease::granted_at_request(requested_at, ttl, Token::default())),
            has_ended: Cell::new(false),
            has_stopped_renewing: Cell::new(false),
        });
        let is_first = self.0.sessions.borrow().is_empty();
        self.0.sessions.borrow_mut().insert(key, Rc::downgrade(&state));
        if is_first {
            spawn_local(renew_all(self.clone()));
        }
        Ok(Session(state))
    }

    /// Returns the sessions that must be renewed, and removes the others from the table.
    fn renewed_sessions(&self) -> Vec<Rc<SessionState>> {
        let mut sessions = self.0.sessions.borrow_mut();
        sessions.retain(|_, session| session.upgrade().is_some_and(|session| session.is_renewed()));
        sessions.values().filter_map(Weak::upgrade).collect()
    }

    /// Renews these sessions with one call. Sessions of another cluster than the one that replies have ended,
    /// because the replying cluster does not have them.
    async fn renew(&self, keys: &[SessionKey], interval: Duration, within: Duration) {
        let requested_at = self.now();
        let request = |cluster: u64| {
            let sessions = keys.iter().filter(|key| key.cluster == cluster).map(|key| key.id).collect();
            Ok(Request::Renew { sessions })
        };
        let Ok(reply) = self.call_leader(request, interval, Instant::now() + within).await else { return };
        let Response::Renewed(live) = reply.response else { return };
        let sessions = self.0.sessions.borrow();
        for session in keys.iter().filter_map(|key| sessions.get(key)?.upgrade()) {
            if session.cluster() == reply.cluster && live.contains(&session.id()) {
                session.lease.set(session.lease.get().renewed(requested_at, session.ttl));
            } else {
                session.has_ended.set(true);
            }
        }
    }
}

/// Renews all sessions of a client until none is left.
async fn renew_all(client: Client) {
    // The first interval is jittered, so that clients that started at the same time do not renew at the same
    // time.
    let mut jitter = with_rng(|rng| rng.random_range(0.3..1.0));
    loop {
        let sessions = client.renewed_sessions();
        let Some(shortest_ttl) = sessions.iter().map(|session| session.ttl).min() else { return };
        let keys: Vec<SessionKey> = sessions.iter().map(|session| session.key).collect();
        // The references are dropped before the sleep. They would keep a session open although its owner has
        // dropped it.
        drop(sessions);
        let interval = shortest_ttl / RENEWALS_PER_TTL;
        sleep(interval.mul_f64(jitter)).await;
        jitter = with_rng(|rng| rng.random_range(0.8..1.2));
        client.renew(&keys, interval, shortest_ttl / 2).await;
    }
}
