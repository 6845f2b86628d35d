//! The pool of connections to servers.
//!
//! Idle connections are reused, the most recently used first. How long one may be idle is learned: servers, and middle
//! boxes on the way to them, may close connections far earlier than the settings say, and a request that crosses the close
//! ends as a reset that may not be retried.

use super::endpoints::ServerProcess;
use crate::body::request_body::OutgoingBody;
use crate::request_budget::RequestBudget;
use marblecroft_quota_gateway_core::Status;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The fraction of the servers' idle timeout after which a connection is closed here, so that a request does not cross the
/// server's close.
const IDLE_FRACTION: f64 = 0.75;
/// A reset within the time of a connect, and at least this time, of writing is taken for an earlier close by the server; a
/// reset that aborts work comes later ...
const MIN_IMMEDIATE_RESET: Duration = Duration::from_millis(2);
/// ... if the connection had been idle for at least this long. Bounds the damage of aborts that are mistaken for closes.
const MIN_LEARNED_IDLE: Duration = Duration::from_millis(20);
/// After an early close was observed, the permitted idle time doubles in this interval, up to the settings' limit.
const IDLE_RECOVERY_INTERVAL: Duration = Duration::from_secs(10);
/// A connection that has just delivered a response is not used again for this long. Some servers send a response twice, the
/// second copy 0.5 to 3.7 ms late (31 of them on four short days): behind a further request it would be taken for that
/// request's. Costs a further connection where requests to a server follow each other faster.
const REUSE_DELAY: Duration = Duration::from_millis(15);
/// The weight of a new sample in the moving average of the connect time.
const CONNECT_TIME_WEIGHT: f64 = 0.1;
/// The longest transit time that is assumed for a response: slow connects indicate busy servers, not long paths.
const MAX_RESPONSE_TRANSIT: Duration = Duration::from_millis(10);

/// A connection to a server.
pub type PooledConnection = marblecroft_transport::connection::ClientConnection<OutgoingBody>;

/// The limits of a pool.
pub struct PoolSettings {
    /// The longest time that a connect may take.
    pub connect_timeout: Duration,
    /// The time after which servers close an idle connection.
    pub server_idle_timeout: Duration,
    /// The number of connections that may be open at a time.
    pub max_connections: usize,
}

/// A connection for an attempt.
pub struct Acquired {
    /// The connection, for this attempt alone.
    pub connection: PooledConnection,
    /// How long the connection had been idle; `None` for a new one.
    pub idle_for: Option<Duration>,
}

struct IdleConnection {
    connection: PooledConnection,
    idle_since: Instant,
}

/// What an early close by a server showed.
#[derive(Clone, Copy)]
struct LearnedIdleLimit {
    limit: Duration,
    learned_at: Instant,
}

/// How long a connection may have been idle to be used again.
struct IdleLimit {
    max: Duration,
    learned: Cell<Option<LearnedIdleLimit>>,
}

impl IdleLimit {
    fn at(&self, now: Instant) -> Duration {
        self.learned.get().map_or(self.max, |LearnedIdleLimit { limit, learned_at }| {
            let elapsed = now.duration_since(learned_at).as_secs_f64();
            let doublings = elapsed / IDLE_RECOVERY_INTERVAL.as_secs_f64();
            self.max.min(limit.mul_f64(doublings.min(32.0).exp2()))
        })
    }

    /// Learns that a connection that had been idle for so long turned out to be closed.
    fn on_closed_early(&self, idle_for: Duration, now: Instant) {
        if idle_for >= MIN_LEARNED_IDLE {
            let limit = self.at(now).min(idle_for.mul_f64(IDLE_FRACTION));
            self.learned.set(Some(LearnedIdleLimit { limit, learned_at: now }));
        }
    }
}

/// The connections to all servers.
pub struct ConnectionPool {
    connect_timeout: Duration,
    idle_limit: IdleLimit,
    /// The moving average of the time that a connect takes.
    connect_time: Cell<Duration>,
    max_connections: Cell<usize>,
    /// The number of open connections, idle and in use.
    open: Rc<Cell<usize>>,
    /// Idle connections to running processes, the most recently used last.
    idle: RefCell<BTreeMap<ServerProcess, Vec<IdleConnection>>>,
    /// When each process last showed activity on a connection.
    last_heard_at: RefCell<BTreeMap<ServerProcess, Instant>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings) -> ConnectionPool {
        let max_idle = settings.server_idle_timeout.mul_f64(IDLE_FRACTION);
        ConnectionPool {
            connect_timeout: settings.connect_timeout,
            idle_limit: IdleLimit { max: max_idle, learned: Cell::new(None) },
            connect_time: Cell::new(MIN_IMMEDIATE_RESET),
            max_connections: Cell::new(settings.max_connections),
            open: Rc::default(),
            idle: RefCell::default(),
            last_heard_at: RefCell::default(),
        }
    }

    /// Changes the number of connections that may be open, and closes idle ones that exceed it.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        while self.open.get() > max_connections && self.close_one_idle() {}
    }

    /// Forgets processes that are no longer used, and closes the idle connections to them.
    pub fn retain(&self, is_used: impl Fn(&ServerProcess) -> bool) {
        self.idle.borrow_mut().retain(|process, _| is_used(process));
        self.last_heard_at.borrow_mut().retain(|process, _| is_used(process));
    }

    /// Records activity of a process.
    pub fn on_heard(&self, process: ServerProcess) {
        self.last_heard_at.borrow_mut().insert(process, Instant::now());
    }

    /// Returns whether a process has shown activity at `instant` or later.
    pub fn has_heard_since(&self, process: &ServerProcess, instant: Instant) -> bool {
        self.last_heard_at.borrow().get(process).is_some_and(|&heard_at| heard_at >= instant)
    }

    /// Closes the idle connections to a process.
    pub fn close_idle(&self, process: &ServerProcess) {
        self.idle.borrow_mut().remove(process);
    }

    /// Closes connections that were idle for too long, and drops those that cannot be used again.
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
    /// The status with which the attempt ends: [`Status::NotSent`] where no further connection may be open, which says
    /// nothing of the server, or [`Status::ConnectFailed`].
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
        // The connections are in the order in which they were put back.
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

    /// Adds an open connection to the idle ones.
    pub fn put_back(&self, process: ServerProcess, connection: PooledConnection) {
        let idle_since = Instant::now();
        self.idle.borrow_mut().entry(process).or_default().push(IdleConnection { connection, idle_since });
    }

    /// The assumed transit time of a response: half of a connect, which takes one way there and one back.
    pub fn response_transit(&self) -> Duration {
        (self.connect_time.get() / 2).min(MAX_RESPONSE_TRANSIT)
    }

    /// Learns from a reset of a request written at `sent_at` on a connection that had been idle for `idle_for`: one that
    /// comes immediately shows that the server had closed the connection.
    pub fn on_reset(&self, idle_for: Option<Duration>, sent_at: Instant) {
        let is_immediate = sent_at.elapsed() <= self.connect_time.get().max(MIN_IMMEDIATE_RESET);
        if let Some(idle_for) = idle_for.filter(|_| is_immediate) {
            self.idle_limit.on_closed_early(idle_for, sent_at);
        }
    }
}
