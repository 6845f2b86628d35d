//! The pool of connections to servers.
//!
//! Idle connections are reused, the most recently used first. The maximum idle time adapts to observed
//! closes: servers, and middleboxes on the path, may close connections far earlier than configured, and a
//! request that crosses the close ends as a reset that may not be retried.

use super::endpoints::ServerProcess;
use crate::body::request_body::OutgoingBody;
use crate::request_budget::RequestBudget;
use marblecroft_quota_gateway_core::Status;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The fraction of the servers' idle timeout after which this side closes a connection, so that a request
/// does not cross the server's close.
const IDLE_FRACTION: f64 = 0.75;
/// A reset that follows the write within the time of a connect, or within this time if that is longer, is
/// taken for an earlier close by the server. A reset that aborts work comes later.
const MIN_IMMEDIATE_RESET: Duration = Duration::from_millis(2);
/// The shortest idle time from which an early close reduces the idle limit. Keeps the limit from becoming too
/// short if an aborted request is mistaken for an early close.
const MIN_OBSERVED_IDLE: Duration = Duration::from_millis(20);
/// After an early close, the idle limit doubles in each such interval, up to the configured limit.
const IDLE_RECOVERY_INTERVAL: Duration = Duration::from_secs(10);
/// A connection that has just delivered a response is not reused for this long. Some servers send a response
/// twice, the second copy 0.5 to 3.7 ms late (31 copies in four short days of traffic); after a further
/// request it would be taken for the response to that one. Costs an additional connection if requests to a
/// server follow each other faster.
const REUSE_DELAY: Duration = Duration::from_millis(15);
/// The weight of a new sample in the moving average of the connect time.
const CONNECT_TIME_WEIGHT: f64 = 0.1;
/// The longest transit time that is assumed for a response. Slow connects indicate busy servers, not long
/// paths.
const MAX_RESPONSE_TRANSIT: Duration = Duration::from_millis(10);

/// A connection to a server.
pub type PooledConnection = marblecroft_transport::connection::ClientConnection<OutgoingBody>;

/// The limits of a pool.
pub struct PoolSettings {
    /// The connect timeout.
    pub connect_timeout: Duration,
    /// The time after which servers close an idle connection.
    pub server_idle_timeout: Duration,
    /// The maximum number of open connections.
    pub max_connections: usize,
}

/// A connection for an attempt.
pub struct Acquired {
    /// The connection, used by this attempt only.
    pub connection: PooledConnection,
    /// How long the connection had been idle; `None` for a new one.
    pub idle_for: Option<Duration>,
}

struct IdleConnection {
    connection: PooledConnection,
    idle_since: Instant,
}

/// A reduced idle limit, from an observed early close.
#[derive(Clone, Copy)]
struct ObservedIdleLimit {
    limit: Duration,
    observed_at: Instant,
}

/// The maximum idle time of a connection that is reused.
struct IdleLimit {
    max: Duration,
    observed: Cell<Option<ObservedIdleLimit>>,
}

impl IdleLimit {
    fn at(&self, now: Instant) -> Duration {
        self.observed.get().map_or(self.max, |ObservedIdleLimit { limit, observed_at }| {
            let elapsed = now.duration_since(observed_at).as_secs_f64();
            let doublings = elapsed / IDLE_RECOVERY_INTERVAL.as_secs_f64();
            self.max.min(limit.mul_f64(doublings.min(32.0).exp2()))
        })
    }

    /// Reduces the limit after a connection that had been idle for `idle_for` was found to be closed.
    fn on_closed_early(&self, idle_for: Duration, now: Instant) {
        if idle_for >= MIN_OBSERVED_IDLE {
            let limit = self.at(now).min(idle_for.mul_f64(IDLE_FRACTION));
            self.observed.set(Some(ObservedIdleLimit { limit, observed_at: now }));
        }
    }
}

/// The connections to all servers.
pub struct ConnectionPool {
    connect_timeout: Duration,
    idle_limit: IdleLimit,
    /// The moving average of the connect time.
    connect_time: Cell<Duration>,
    max_connections: Cell<usize>,
    /// The number of open connections, idle and in use.
    open: Rc<Cell<usize>>,
    /// Idle connections to running processes, the most recently used last.
    idle: RefCell<BTreeMap<ServerProcess, Vec<IdleConnection>>>,
    /// When each process last showed activity on a connection.
    last_activity_at: RefCell<BTreeMap<ServerProcess, Instant>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings) -> ConnectionPool {
        let max_idle = settings.server_idle_timeout.mul_f64(IDLE_FRACTION);
        ConnectionPool {
            connect_timeout: settings.connect_timeout,
            idle_limit: IdleLimit { max: max_idle, observed: Cell::new(None) },
            connect_time: Cell::new(MIN_IMMEDIATE_RESET),
            max_connections: Cell::new(settings.max_connections),
            open: Rc::default(),
            idle: RefCell::default(),
            last_activity_at: RefCell::default(),
        }
    }

    /// Changes the maximum number of open connections, and closes excess idle ones.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        while self.open.get() > max_connections && self.close_one_idle() {}
    }

    /// Removes processes that are no longer used, and closes the idle connections to them.
    pub fn retain(&self, is_used: impl Fn(&ServerProcess) -> bool) {
        self.idle.borrow_mut().retain(|process, _| is_used(process));
        self.last_activity_at.borrow_mut().retain(|process, _| is_used(process));
    }

    /// Records activity of a process.
    pub fn on_activity(&self, process: ServerProcess) {
        self.last_activity_at.borrow_mut().insert(process, Instant::now());
    }

    /// Returns whether a process showed activity at or after `instant`.
    pub fn has_activity_since(&self, process: &ServerProcess, instant: Instant) -> bool {
        self.last_activity_at.borrow().get(process).is_some_and(|&activity_at| activity_at >= instant)
    }

    /// Closes the idle connections to a process.
    pub fn close_idle(&self, process: &ServerProcess) {
        self.idle.borrow_mut().remove(process);
    }

    /// Closes connections that were idle for too long or cannot be reused.
    pub fn sweep(&self) {
        let limit = self.idle_limit.at(Instant::now());
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| idle.idle_since.elapsed() < limit && idle.connection.is_reusable());
            !idle.is_empty()
        });
    }

    /// Closes the connection that has been idle the longest. Returns whether there was one.
    pub fn close_one_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|idle| !idle.is_empty()).min_by_key(|idle| idle[0].idle_since);
        oldest.map(|idle| idle.remove(0)).is_some()
    }

    /// Takes an idle connection to `process`, or establishes one within the request's budget.
    ///
    /// # Errors
    /// The status with which the attempt ends: [`Status::NotSent`] if the maximum number of connections is
    /// open, which is no evidence about the server, or [`Status::ConnectFailed`].
    pub async fn acquire(&self, process: &ServerProcess, budget: &RequestBudget) -> Result<Acquired, Status> {
        if let Some(acquired) = self.take_idle(process) {
            return Ok(acquired);
        }
        if self.open.get() >= self.max_connections.get() && !self.close_one_idle() {
            return Err(Status::NotSent);
        }
        let connected = self.connect(process, budget).await;
        connected.map(|connection| Acquired { connection, idle_for: None }).map_err(|_| Status::ConnectFailed)
    }

    fn take_idle(&self, process: &ServerProcess) -> Option<Acquired> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(process)?;
        let now = Instant::now();
        let limit = self.idle_limit.at(now);
        // The connections are ordered by the time at which they became idle.
        let reusable = idle.partition_point(|idle| now.duration_since(idle.idle_since) >= REUSE_DELAY);
        let newest_first = (0..reusable).rev().map(|index| idle.remove(index));
        newest_first
            .map(|idle| (idle.connection, now.duration_since(idle.idle_since)))
            .find(|(connection, idle_for)| *idle_for < limit && connection.is_reusable())
            .map(|(connection, idle_for)| Acquired { connection, idle_for: Some(idle_for) })
    }

    async fn connect(&self, process: &ServerProcess, budget: &RequestBudget) -> io::Result<PooledConnection> {
        let (begun_at, limit) = (Instant::now(), budget.begin_connect(self.connect_timeout));
        let connection = PooledConnection::connect(process.addr, limit, Some(self.open.clone())).await?;
        let (mean, sample) = (self.connect_time.get(), begun_at.elapsed());
        self.connect_time.set(mean.mul_f64(1.0 - CONNECT_TIME_WEIGHT) + sample.mul_f64(CONNECT_TIME_WEIGHT));
        Ok(connection)
    }

    /// Adds an open connection to the idle connections.
    pub fn put_back(&self, process: ServerProcess, connection: PooledConnection) {
        let idle_since = Instant::now();
        self.idle.borrow_mut().entry(process).or_default().push(IdleConnection { connection, idle_since });
    }

    /// The assumed transit time of a response: half of a connect, which takes one round trip.
    pub fn response_transit(&self) -> Duration {
        (self.connect_time.get() / 2).min(MAX_RESPONSE_TRANSIT)
    }

    /// Handles the reset of a request that was written at `sent_at` on a connection that had been idle for
    /// `idle_for`. An immediate reset shows that the server had closed the connection.
    pub fn on_reset(&self, idle_for: Option<Duration>, sent_at: Instant) {
        let is_immediate = sent_at.elapsed() <= self.connect_time.get().max(MIN_IMMEDIATE_RESET);
        if let Some(idle_for) = idle_for.filter(|_| is_immediate) {
            self.idle_limit.on_closed_early(idle_for, sent_at);
        }
    }
}
