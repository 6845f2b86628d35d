//! Sessions, and the task that renews all of a client.
//!
//! The service numbers sessions from 1, and numbers them anew where it begins anew or is restored from a copy: the number of a
//! session of the earlier cluster is then another owner's. A session therefore counts only in the cluster that opened it.

use super::error::CallError;
use super::Client;
use crate::env::chance;
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

/// Sessions are renewed this many times in their time to live.
const RENEWALS_PER_TTL: u32 = 4;

/// A session's number, in the cluster that opened it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SessionKey {
    cluster: u64,
    id: SessionId,
}

/// The sessions of a client that are renewed.
pub(super) type SessionTable = BTreeMap<SessionKey, Weak<SessionState>>;

/// What a session, its locks and the renewal share.
pub(super) struct SessionState {
    pub(super) client: Client,
    key: SessionKey,
    ttl: Duration,
    /// Until when the session lives for certain; without a token of its own.
    lease: Cell<HeldLease>,
    is_over: Cell<bool>,
    is_lapsing: Cell<bool>,
}

impl SessionState {
    pub(super) fn id(&self) -> SessionId {
        self.key.id
    }

    /// The cluster that opened the session.
    pub(super) fn cluster(&self) -> u64 {
        self.key.cluster
    }

    /// Whether the session lives for certain.
    pub(super) fn is_alive(&self) -> bool {
        !self.is_over.get() && self.lease.get().act(self.client.now()).is_some()
    }

    fn is_renewed(&self) -> bool {
        !self.is_over.get() && !self.is_lapsing.get()
    }
}

/// A session of this process. It is renewed for as long as it or a lock of it is held, and then ends in its time.
pub struct Session(pub(super) Rc<SessionState>);

impl Session {
    /// Returns the session's number, which is unique in its cluster.
    pub fn id(&self) -> SessionId {
        self.0.id()
    }

    /// Ends the renewals: the session ends in its time, and until then its locks may act.
    pub fn let_lapse(&self) {
        self.0.is_lapsing.set(true);
    }

    /// Whether the session lives for certain.
    pub fn is_alive(&self) -> bool {
        self.0.is_alive()
    }

    /// Has an operation carried out that names this session, once.
    ///
    /// # Errors
    ///
    /// See [`CallError`]; [`Refused::NoSession`](crate::state::Refused::NoSession) where the service has begun anew or was
    /// restored since the session was opened.
    pub async fn call(&self, op: Op, within: Duration) -> Result<Done, CallError> {
        let executed = self.0.client.execute(op, Some(self.0.cluster()), within).await?;
        Ok(executed.done)
    }

    /// Ends the session now: what it holds is free at once.
    ///
    /// # Errors
    ///
    /// See [`CallError`]; the session ends in its time all the same.
    pub async fn close(self, within: Duration) -> Result<(), CallError> {
        self.0.is_over.set(true);
        self.call(Op::Close { session: self.id() }, within).await.map(drop)
    }
}

impl Client {
    /// Opens a session, which is renewed until it is dropped or lost.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn session(&self, name: &str, ttl: Duration, within: Duration) -> Result<Session, CallError> {
        let ttl_ms = u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX);
        let requested_at = self.now();
        let opened = self.execute(Op::Open { ttl_ms, name: name.to_owned() }, None, within).await?;
        let Done::Opened(id) = opened.done else {
            return Err(CallError::Rejected("no session was opened".to_owned()));
        };
        let key = SessionKey { cluster: opened.cluster, id };
        let state = Rc::new(SessionState {
            client: self.clone(),
            key,
            ttl,
            lease: Cell::new(HeldLease::granted_at_request(requested_at, ttl, Token::default())),
            is_over: Cell::new(false),
            is_lapsing: Cell::new(false),
        });
        let is_first = self.0.sessions.borrow().is_empty();
        self.0.sessions.borrow_mut().insert(key, Rc::downgrade(&state));
        if is_first {
            spawn_local(renew_all(self.clone()));
        }
        Ok(Session(state))
    }

    /// The sessions that are to be renewed; the others are dropped from the table.
    fn renewed_sessions(&self) -> Vec<Rc<SessionState>> {
        let mut sessions = self.0.sessions.borrow_mut();
        sessions.retain(|_, session| session.upgrade().is_some_and(|session| session.is_renewed()));
        sessions.values().filter_map(Weak::upgrade).collect()
    }

    /// Renews these sessions with one call. Those of another cluster than the one that replies are over: it knows nothing of
    /// them.
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
                session.is_over.set(true);
            }
        }
    }
}

/// Renews all sessions of a client; ends with the last of them.
async fn renew_all(client: Client) {
    // Clients that began together do not renew together.
    let mut share = chance(|rng| rng.random_range(0.3..1.0));
    loop {
        let sessions = client.renewed_sessions();
        let Some(shortest_ttl) = sessions.iter().map(|session| session.ttl).min() else { return };
        let keys: Vec<SessionKey> = sessions.iter().map(|session| session.key).collect();
        // The pause must not keep a session alive that nobody holds.
        drop(sessions);
        let interval = shortest_ttl / RENEWALS_PER_TTL;
        sleep(interval.mul_f64(share)).await;
        share = chance(|rng| rng.random_range(0.8..1.2));
        client.renew(&keys, interval, shortest_ttl / 2).await;
    }
}
