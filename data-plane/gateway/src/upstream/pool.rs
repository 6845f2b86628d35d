//! Idle connections to model servers.
//!
//! Opening a connection to a server is expensive, but reusing an idle one involves a race: the
//! server may be closing it, or may already have dropped it silently, while the request is being
//! sent. It is then unknown whether the request was executed. For requests that must not be
//! executed twice, the pool therefore only uses connections that have been idle for a short time.
//! For requests that may be executed again, it uses longer idle ones too. It also limits the number
//! of idle connections, because a server accepts a limited number of connections from all gateways
//! together and resets the rest.

use crate::headers::KEEP_ALIVE;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, CONNECTION};
use marblecroft_protocol::servers::Server;
use marblecroft_transport::connection::ClientConnection;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection to a model server.
pub type Connection = ClientConnection<Full<Bytes>>;

/// Minimum idle time after a response before a connection is reused. Some servers send a response
/// twice, and the second one would be taken for the response to the next request.
pub(super) const REUSE_DELAY: Duration = Duration::from_millis(15);
/// Maximum idle time of a connection that is used for a request that must not be executed twice.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum idle time of a connection that is used for a request that may be executed again, if
/// servers accept enough connections.
const LONG_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Share of a server's connections that all gateways together may keep idle for the long timeout.
const LONG_IDLE_SHARE: f64 = 0.4;
/// Maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 2;
/// Share of a server's announced keep-alive time that is used. The rest is a margin against the
/// race with the server closing the connection.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Key of a server's connections: an incarnation at an address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PoolKey {
    id: String,
    address: SocketAddr,
}

impl PoolKey {
    fn of(server: &Server) -> PoolKey {
        PoolKey { id: server.id.clone(), address: server.address }
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// Idle time after which the connection is closed.
    timeout: Duration,
}

impl IdleConnection {
    fn idle_time(&self, now: Instant) -> Duration {
        now.duration_since(self.idle_since)
    }

    fn is_usable(&self, now: Instant) -> bool {
        self.idle_time(now) < self.timeout && !self.connection.is_closed()
    }
}

/// Idle connections, oldest first for each server.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<PoolKey, Vec<IdleConnection>>>,
    /// Number of open connections, idle or in use.
    pub(super) open: Rc<Cell<usize>>,
    /// Number of gateways that share the servers' connections; 0 if unknown.
    gateways: Cell<u32>,
}

impl ConnectionPool {
    /// Sets the number of gateways that share the servers' connections.
    pub fn set_gateway_count(&self, gateways: u32) {
        self.gateways.set(gateways);
    }

    /// Returns how long a connection may stay idle, if each server accepts `max_connections` from
    /// all gateways.
    fn idle_timeout(&self, max_connections: u32) -> Duration {
        let share = f64::from(max_connections) * LONG_IDLE_SHARE / f64::from(self.gateways.get().max(1));
        let has_room = self.gateways.get() > 0 && share >= MAX_IDLE_PER_SERVER as f64;
        if has_room {
            LONG_IDLE_TIMEOUT
        } else {
            SHORT_IDLE_TIMEOUT
        }
    }

    /// Removes an idle connection from the pool, to be used for a request.
    pub(super) fn take(&self, server: &Server, allows_reexecution: bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&PoolKey::of(server))?;
        let now = Instant::now();
        connections.retain(|idle| idle.is_usable(now));
        let is_past_reuse_delay = |idle: &IdleConnection| idle.idle_time(now) >= REUSE_DELAY;
        // Requests that may be executed again take the connection that has been idle longest, and
        // leave the others to requests that must not be.
        let index = if allows_reexecution {
            connections.iter().position(is_past_reuse_delay)?
        } else {
            connections
                .iter()
                .rposition(|idle| is_past_reuse_delay(idle) && idle.idle_time(now) < SHORT_IDLE_TIMEOUT)?
        };
        let connection = connections.remove(index).connection;
        connection.is_reusable().then_some(connection)
    }

    /// Returns a connection to the pool after its response has been read to the end. `headers` are
    /// those of the response.
    pub fn put_back(
        &self,
        server: &Server,
        connection: Connection,
        headers: &HeaderMap,
        max_connections: u32,
    ) {
        let closes =
            headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes || connection.is_closed() {
            return;
        }
        let announced = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok());
        let max = self.idle_timeout(max_connections);
        let timeout = announced
            .and_then(parse_keep_alive)
            .map_or(max, |announced| announced.mul_f64(KEEP_ALIVE_FRACTION).min(max));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(PoolKey::of(server)).or_default();
        if connections.len() >= MAX_IDLE_PER_SERVER {
            connections.remove(0);
        }
        connections.push(IdleConnection { connection, idle_since: Instant::now(), timeout });
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.is_usable(now));
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to a server at which an attempt has failed.
    pub fn close_idle_to(&self, server: &Server) {
        self.idle.borrow_mut().remove(&PoolKey::of(server));
    }
}

/// Returns the `timeout` parameter of a `Keep-Alive` header.
fn parse_keep_alive(value: &str) -> Option<Duration> {
    let seconds = value.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
