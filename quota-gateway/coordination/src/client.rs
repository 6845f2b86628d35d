//! The client of the service, for gateways and other programs: one connection for each process, however many callers.
//!
//! Addresses are tried in turn, the leader is remembered, pauses are jittered, every call has a bound. A call that is sent again
//! after a lost answer takes effect once. A watch resumes by its revision, and never misses a change or goes back.

use crate::env::{chance, Clock, Env};
use crate::lease::HeldLease;
use crate::peers::translated;
use crate::state::{Changes, ClientId, Done, Op, Refused, Revision, SessionId, Token};
use crate::wire::{Channel, Request, Response};
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::future::Future;
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at, Instant};

/// One process is waited for at most this long before another one is asked; a watch for as much longer as it waits.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pauses between tries grow from the first to the second, each jittered by half either way.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// Sessions are renewed so many times in their length.
const RENEWALS: u32 = 4;
/// A watch that has nothing to tell comes back after this: that it does not is how a leader that has fallen silent is noticed.
const WATCH: Duration = Duration::from_secs(2);

/// Why a call came to nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failed {
    /// Nothing was changed, and why.
    Refused(Refused),
    /// The service says no, in one line; nothing was changed.
    No(String),
    /// No answer in time: it may have been done, or may yet be.
    TimedOut,
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failed::Refused(refused) => write!(f, "refused: {refused:?}"),
            Failed::No(why) => f.write_str(why),
            Failed::TimedOut => f.write_str("no answer in time"),
        }
    }
}

/// What the service knows this client by, and the numbers of its calls. Another one begins where the service says that it has
/// forgotten this one: after an hour without a call, or as it began anew or was restored from a copy.
struct ClientIncarnation {
    id: ClientId,
    number: Cell<u64>,
    /// Numbers of calls that have no answer yet.
    open: RefCell<BTreeSet<u64>>,
}

impl ClientIncarnation {
    fn begin() -> Rc<ClientIncarnation> {
        let id = ClientId(chance(|rng| rng.random()));
        Rc::new(ClientIncarnation { id, number: Cell::new(0), open: RefCell::default() })
    }
}

struct Inner {
    incarnation: RefCell<Rc<ClientIncarnation>>,
    addrs: Vec<String>,
    /// Where the leader that is named is called, with its own port, if there is a translator between.
    at: Option<IpAddr>,
    /// Which address is asked next, and the leader where one was named.
    turn: Cell<usize>,
    leader: RefCell<Option<String>>,
    channel: RefCell<Option<Channel>>,
    connecting: tokio::sync::Mutex<()>,
    sessions: RefCell<BTreeMap<SessionId, Weak<SessionState>>>,
    clock: Clock,
    env: Env,
}

/// A client; copies share it.
#[derive(Clone)]
pub struct Client(Rc<Inner>);

impl Client {
    /// One of the service at these addresses, of which one must be right. Nothing is connected yet.
    pub fn new(addrs: Vec<String>) -> Client {
        Client::behind(addrs, None)
    }

    /// The same where an address translator stands between: whichever leader is named is called at this address, with its port.
    pub fn behind(addrs: Vec<String>, at: Option<IpAddr>) -> Client {
        Client::in_env(Env::default(), addrs, at)
    }

    /// The same in another world than the system's.
    pub fn in_env(env: Env, addrs: Vec<String>, at: Option<IpAddr>) -> Client {
        let turn = if addrs.is_empty() { 0 } else { chance(|rng| rng.random_range(0..addrs.len())) };
        Client(Rc::new(Inner {
            incarnation: RefCell::new(ClientIncarnation::begin()),
            addrs,
            at,
            turn: Cell::new(turn),
            leader: RefCell::default(),
            channel: RefCell::default(),
            connecting: tokio::sync::Mutex::default(),
            sessions: RefCell::default(),
            clock: env.clock(),
            env,
        }))
    }

    /// The connection that is there, or another one: to the leader if it is known, else to the next address.
    async fn channel(&self) -> Result<Channel, std::io::Error> {
        let _one = self.0.connecting.lock().await;
        if let Some(channel) = self.0.channel.borrow().clone() {
            return Ok(channel);
        }
        let addr = self.0.leader.borrow_mut().take().or_else(|| {
            let turn = self.0.turn.get();
            self.0.turn.set(turn.wrapping_add(1));
            self.0.addrs.get(turn % self.0.addrs.len().max(1)).cloned()
        });
        let addr = addr.ok_or_else(|| std::io::Error::other("no address is known"))?;
        // Which cluster it is, is not known before it was asked.
        let stranger = Channel::connect_in(&self.0.env, &addr, 0).await?;
        let cluster = match stranger.call(Request::Identity).await? {
            Response::Identity { cluster, .. } if cluster != 0 => cluster,
            _ => return Err(std::io::Error::other("it is of no cluster yet")),
        };
        let channel = Channel::connect_in(&self.0.env, &addr, cluster).await?;
        self.0.channel.replace(Some(channel.clone()));
        Ok(channel)
    }

    /// Asks whoever leads, again and again, until there is an answer or the time is over.
    async fn call_leader(
        &self,
        request: impl Fn() -> Request,
        one: Duration,
        until: Instant,
    ) -> Result<Response, Failed> {
        let mut pause = RETRY_BACKOFF.0;
        loop {
            let asked = async { self.channel().await?.call(request()).await };
            let most = (Instant::now() + one).min(until);
            let mut wait = pause.mul_f64(chance(|rng| rng.random_range(0.5..1.5)));
            match timeout_at(most, asked).await {
                Ok(Ok(Response::NotLeader { leader })) => {
                    // One that names the leader is followed at once.
                    if leader.is_some() {
                        wait = Duration::from_millis(1);
                    }
                    self.0.leader.replace(leader.map(|addr| translated(&addr, self.0.at)));
                    self.0.channel.replace(None);
                }
                Ok(Ok(Response::Busy { after_ms })) => {
                    wait = Duration::from_millis(after_ms.into())
                        .mul_f64(chance(|rng| rng.random_range(0.5..1.5)));
                }
                Ok(Ok(Response::No(why))) => return Err(Failed::No(why)),
                Ok(Ok(response)) => {
                    // It may have been done, and the same number tells.
                    if !matches!(response, Response::Unknown(_)) {
                        return Ok(response);
                    }
                    self.0.channel.replace(None);
                }
                Ok(Err(_)) | Err(_) => drop(self.0.channel.replace(None)),
            }
            pause = (pause * 2).min(RETRY_BACKOFF.1);
            if Instant::now() + wait >= until {
                return Err(Failed::TimedOut);
            }
            sleep(wait).await;
        }
    }

    /// Has something done, once.
    pub async fn call(&self, op: Op, within: Duration) -> Result<Done, Failed> {
        let life = self.0.incarnation.borrow().clone();
        let number = life.number.get() + 1;
        life.number.set(number);
        life.open.borrow_mut().insert(number);
        // The first number must come first: the service knows a client by it.
        while number > 1 && life.open.borrow().contains(&1) {
            sleep(Duration::from_millis(1)).await;
        }
        let request = || {
            let done = life.open.borrow().first().map_or(number, |first| *first) - 1;
            Request::Call { client: life.id, number, done, op: op.clone() }
        };
        let answer = self.call_leader(request, ATTEMPT_TIMEOUT, Instant::now() + within).await;
        life.open.borrow_mut().remove(&number);
        match answer? {
            Response::Outcome(outcome) => {
                let forgotten = outcome == Err(Refused::Forgotten);
                if forgotten && Rc::ptr_eq(&self.0.incarnation.borrow(), &life) {
                    self.0.incarnation.replace(ClientIncarnation::begin());
                }
                outcome.map_err(Failed::Refused)
            }
            other => Err(Failed::No(format!("an answer of another kind: {other:?}"))),
        }
    }

    /// Values whose keys begin so, as of now, and the revision to watch on from.
    pub async fn read(
        &self,
        prefix: &str,
        within: Duration,
    ) -> Result<(Revision, Vec<(String, Vec<u8>, Revision)>), Failed> {
        let request = || Request::Read { prefix: prefix.to_owned(), stale: false };
        match self.call_leader(request, ATTEMPT_TIMEOUT, Instant::now() + within).await? {
            Response::Values { revision, values, .. } => Ok((revision, values)),
            other => Err(Failed::No(format!("an answer of another kind: {other:?}"))),
        }
    }

    /// For an operator's question; answered by whoever is asked first.
    pub async fn question(
        &self,
        request: impl Fn() -> Request,
        within: Duration,
    ) -> Result<Response, Failed> {
        self.call_leader(request, ATTEMPT_TIMEOUT, Instant::now() + within).await
    }

    /// Changes behind a revision, as soon as there are some; possibly none, and then the revision to go on from.
    pub async fn changes_since(
        &self,
        prefix: &str,
        since: Revision,
        within: Duration,
    ) -> Result<Changes, Failed> {
        let wait = within.min(WATCH);
        let request = || Request::Watch {
            prefix: prefix.to_owned(),
            since,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        match self
            .call_leader(request, wait + ATTEMPT_TIMEOUT, Instant::now() + within + ATTEMPT_TIMEOUT)
            .await?
        {
            Response::Changes(news) => Ok(news),
            other => Err(Failed::No(format!("an answer of another kind: {other:?}"))),
        }
    }

    fn now(&self) -> Duration {
        self.0.clock.now()
    }

    /// Opens a session, which is renewed until it is dropped or lost.
    pub async fn session(&self, name: &str, ttl: Duration, within: Duration) -> Result<Session, Failed> {
        let ttl_ms = u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX);
        let asked = self.now();
        let opened = self.call(Op::Open { ttl_ms, name: name.to_owned() }, within).await?;
        let Done::Opened(id) = opened else { return Err(Failed::No("no session was opened".to_owned())) };
        let kept = Rc::new(SessionState {
            client: self.clone(),
            id,
            ttl,
            lease: Cell::new(HeldLease::granted_at_request(asked, ttl, 0)),
            over: Cell::new(false),
            lapsing: Cell::new(false),
        });
        let first = self.0.sessions.borrow().is_empty();
        self.0.sessions.borrow_mut().insert(id, Rc::downgrade(&kept));
        if first {
            spawn_local(renew(self.clone()));
        }
        Ok(Session(kept))
    }
}

/// Renews all sessions of a client, with one call for all; ends with the last of them.
async fn renew(client: Client) {
    // Clients that began together do not renew together.
    let mut share = chance(|rng| rng.random_range(0.3..1.0));
    loop {
        let kept: Vec<Rc<SessionState>> = {
            let mut sessions = client.0.sessions.borrow_mut();
            sessions
                .retain(|_, kept| kept.upgrade().is_some_and(|kept| !kept.over.get() && !kept.lapsing.get()));
            sessions.values().filter_map(Weak::upgrade).collect()
        };
        let Some(shortest) = kept.iter().map(|kept| kept.ttl).min() else { return };
        let ids: Vec<SessionId> = kept.iter().map(|kept| kept.id).collect();
        drop(kept);
        sleep((shortest / RENEWALS).mul_f64(share)).await;
        share = chance(|rng| rng.random_range(0.8..1.2));
        let asked = client.now();
        let request = || Request::Renew { sessions: ids.clone() };
        let answer = client.call_leader(request, shortest / RENEWALS, Instant::now() + shortest / 2).await;
        let Ok(Response::Renewed(live)) = answer else { continue };
        for kept in client.0.sessions.borrow().values().filter_map(Weak::upgrade) {
            if live.contains(&kept.id) {
                kept.lease.set(kept.lease.get().renewed(asked, kept.ttl));
            } else if ids.contains(&kept.id) {
                kept.over.set(true);
            }
        }
    }
}

struct SessionState {
    client: Client,
    id: SessionId,
    ttl: Duration,
    /// Until when the session lives for certain; without a token of its own.
    lease: Cell<HeldLease>,
    over: Cell<bool>,
    lapsing: Cell<bool>,
}

/// A session of this process; renewed for as long as it or a lock of it is held here, and then over in its time.
pub struct Session(Rc<SessionState>);

impl Session {
    pub fn id(&self) -> SessionId {
        self.0.id
    }

    /// No renewals any more: it ends in its time, and until then its locks may act.
    pub fn let_lapse(&self) {
        self.0.lapsing.set(true);
    }

    /// Whether it lives for certain.
    pub fn is_alive(&self) -> bool {
        !self.0.over.get() && self.0.lease.get().act(self.0.client.now()).is_some()
    }

    /// The lock, waiting for it in order for so long.
    pub async fn acquire(&self, lock: &str, within: Duration) -> Result<Lock, Failed> {
        let granted = self.granted(lock, Instant::now() + within).await;
        if granted == Err(Failed::TimedOut) {
            // The place in the queue is given back, or it would be granted to nobody who waits; it may never have been taken.
            let leave = Op::Release { session: self.0.id, lock: lock.to_owned() };
            drop(self.0.client.call(leave, ATTEMPT_TIMEOUT).await);
        }
        granted.map(|token| Lock { name: lock.to_owned(), token, session: self.0.clone() })
    }

    /// Asks, waits until something has changed, and asks again.
    async fn granted(&self, lock: &str, until: Instant) -> Result<Token, Failed> {
        let client = &self.0.client;
        let rest = || until.saturating_duration_since(Instant::now());
        let mut since = None;
        loop {
            let wish = Op::Acquire { session: self.0.id, lock: lock.to_owned(), wait: true };
            match client.call(wish, rest()).await? {
                Done::Granted(token) => return Ok(token),
                Done::Waiting(_) => {}
                other => return Err(Failed::No(format!("no answer to a wish for a lock: {other:?}"))),
            }
            // Its turn shows as a change of the lock. From where to watch is read first; what came before that is seen by
            // asking once more.
            since = Some(match since {
                None => client.read(lock, rest()).await?.0,
                Some(from) => match bounded(until, client.changes_since(lock, from, rest())).await? {
                    Changes::Changes { upto, .. } => upto,
                    Changes::Lost { now } => now,
                },
            });
        }
    }

    /// Ends it now: what it holds is free at once.
    pub async fn close(self, within: Duration) -> Result<(), Failed> {
        self.0.over.set(true);
        self.0.client.call(Op::Close { session: self.0.id }, within).await.map(drop)
    }
}

/// The same, but no longer than until then.
async fn bounded<T>(until: Instant, what: impl Future<Output = Result<T, Failed>>) -> Result<T, Failed> {
    timeout_at(until, what).await.unwrap_or(Err(Failed::TimedOut))
}

/// A lock that this process was granted.
pub struct Lock {
    name: String,
    token: Token,
    session: Rc<SessionState>,
}

impl Lock {
    /// The token to act under, at this moment; `None` once the service may have given the lock to another. Whoever takes the
    /// effect checks the token all the same: this process may stop between here and there.
    pub fn act(&self) -> Option<Token> {
        let lives =
            !self.session.over.get() && self.session.lease.get().act(self.session.client.now()).is_some();
        lives.then_some(self.token)
    }

    pub fn token(&self) -> Token {
        self.token
    }

    /// Gives it back.
    pub async fn release(self, within: Duration) -> Result<(), Failed> {
        let release = Op::Release { session: self.session.id, lock: self.name };
        self.session.client.call(release, within).await.map(drop)
    }
}
