//! Connections to model servers, and one attempt of a request at a server.

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use marblecroft_protocol::servers::Server;
use marblecroft_transport::link::Link as TransportLink;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection to a model server.
pub type Connection = TransportLink<Full<Bytes>>;

/// A connection must come up in this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection that has just brought an answer is not used again for this long: some servers send an answer twice.
const REUSE_DELAY: Duration = Duration::from_millis(15);
/// A connection that has stood idle for longer is not used for what must not be sent twice: its server may be closing it, or
/// have dropped it without a word.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// ... and for what may be sent again, where servers have room for such connections.
const LONG_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Part of the connections that a server takes which all gateways together may keep idle for long.
const LONG_IDLE_SHARE: f64 = 0.4;
/// Idle connections to one server. Servers reset what goes beyond their cap over all gateways.
const MAX_IDLE_PER_SERVER: usize = 2;
/// Part of the time that a server says it keeps idle connections for which it is made use of.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
pub const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-timeout-ms");
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("x-expected-instance");
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// What is sent to a server.
#[derive(Clone)]
pub struct UpstreamRequest {
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether it may be sent again after no response or a reset.
    pub idempotent: bool,
}

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// Nothing reached the server.
    NotSent,
    /// It was written, in part at least, and may have run.
    MayHaveExecuted,
}

/// An answer's head, with the connection that its body comes on.
pub struct UpstreamResponse {
    pub response: Response<Incoming>,
    pub connection: Connection,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
    /// How long the server keeps it.
    timeout: Duration,
}

/// Idle connections, by incarnation and address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<(String, SocketAddr), Vec<IdleConnection>>>,
    open: Rc<Cell<usize>>,
    /// Gateways that keep connections to the servers, as far as is known.
    gateways: Cell<u32>,
}

impl ConnectionPool {
    /// Takes notice of how many gateways there are.
    pub fn set_gateway_count(&self, gateways: u32) {
        self.gateways.set(gateways);
    }

    /// How long idle connections may be used for what may be sent again.
    fn idle_timeout(&self, max_connections: u32) -> Duration {
        let share = f64::from(max_connections) * LONG_IDLE_SHARE / f64::from(self.gateways.get().max(1));
        let has_room = self.gateways.get() > 0 && share >= MAX_IDLE_PER_SERVER as f64;
        if has_room {
            LONG_IDLE_TIMEOUT
        } else {
            SHORT_IDLE_TIMEOUT
        }
    }

    fn take(&self, server: &Server, may_repeat: bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let here = idle.get_mut(&(server.id.clone(), server.address))?;
        let now = Instant::now();
        here.retain(|idle| now.duration_since(idle.since) < idle.timeout && !idle.connection.is_closed());
        let rested = |idle: &IdleConnection| now.duration_since(idle.since) >= REUSE_DELAY;
        // What may be sent again takes the one that has rested longest, and leaves the others to what may not.
        let at = if may_repeat {
            here.iter().position(rested)?
        } else {
            here.iter()
                .rposition(|idle| rested(idle) && now.duration_since(idle.since) < SHORT_IDLE_TIMEOUT)?
        };
        let link = here.remove(at).connection;
        link.clean().then_some(link)
    }

    /// Keeps a connection whose answer has come whole.
    pub fn put_back(&self, server: &Server, link: Connection, answer: &HeaderMap, max_connections: u32) {
        let closes = answer
            .get(hyper::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes || link.is_closed() {
            return;
        }
        let told = answer.get(KEEP_ALIVE).and_then(|value| value.to_str().ok()).and_then(timeout_of);
        let most = self.idle_timeout(max_connections);
        let kept = told.map_or(most, |told| told.mul_f64(KEEP_ALIVE_FRACTION).min(most));
        let mut idle = self.idle.borrow_mut();
        let here = idle.entry((server.id.clone(), server.address)).or_default();
        if here.len() >= MAX_IDLE_PER_SERVER {
            here.remove(0);
        }
        here.push(IdleConnection { connection: link, since: Instant::now(), timeout: kept });
    }

    /// Closes connections that have stood idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| now.duration_since(idle.since) < idle.timeout && !idle.connection.is_closed());
            !idle.is_empty()
        });
    }

    /// Closes the idle connections to a server that fell silent.
    pub fn close_idle_to(&self, server: &Server) {
        self.idle.borrow_mut().remove(&(server.id.clone(), server.address));
    }

    /// Sends a request to a server and waits for the head of its answer. Dropping the future gives the attempt up.
    /// `may_send` is asked directly before anything is written.
    pub async fn send(
        &self,
        server: &Server,
        order: &UpstreamRequest,
        may_send: impl Fn() -> bool,
    ) -> Result<UpstreamResponse, AttemptError> {
        let mut request = to_http_request(server, order);
        let mut may_repeat = order.idempotent;
        loop {
            let (mut link, kept) = match self.take(server, order.idempotent) {
                Some(link) => (link, true),
                None => {
                    let opened =
                        Connection::open(server.address, CONNECT_TIMEOUT, Some(self.open.clone())).await;
                    (opened.map_err(|_| AttemptError::NotSent)?, false)
                }
            };
            if link.ready().await {
                if !may_send() {
                    return Err(AttemptError::NotSent);
                }
                match link.try_send(request).await {
                    Ok(response) => return Ok(UpstreamResponse { response, connection: link }),
                    Err(mut e) => match e.take_message() {
                        Some(unsent) => request = unsent,
                        None if kept && may_repeat => {
                            // Its server had dropped the connection: once more, to the same server.
                            may_repeat = false;
                            request = to_http_request(server, order);
                        }
                        None => return Err(AttemptError::MayHaveExecuted),
                    },
                }
            }
            // It was closed before anything was written; a kept one is replaced.
            if !kept {
                return Err(AttemptError::NotSent);
            }
        }
    }
}

/// The request to a server: it names the incarnation, so that no other one runs it.
fn to_http_request(server: &Server, order: &UpstreamRequest) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(order.body.clone()));
    *request.method_mut() = order.method.clone();
    *request.uri_mut() = order.uri.clone();
    *request.headers_mut() = order.headers.clone();
    if let Ok(id) = HeaderValue::from_str(&server.id) {
        request.headers_mut().insert(EXPECTED_INSTANCE, id);
    }
    request
}

/// The time of a `Keep-Alive` header.
fn timeout_of(value: &str) -> Option<Duration> {
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
