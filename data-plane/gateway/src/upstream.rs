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
pub type Link = TransportLink<Full<Bytes>>;

/// A connection must come up in this time.
const CONNECT_MOST: Duration = Duration::from_millis(250);
/// A connection that has just brought an answer is not used again for this long: some servers send an answer twice.
const REST: Duration = Duration::from_millis(15);
/// A connection that has stood idle for longer is not used for what must not be sent twice: its server may be closing it, or
/// have dropped it without a word.
const IDLE_MOST: Duration = Duration::from_millis(400);
/// ... and for what may be sent again, where servers have room for such connections.
const IDLE_LONG: Duration = Duration::from_millis(2500);
/// Part of the connections that a server takes which all gateways together may keep idle for long.
const LONG_PART: f64 = 0.4;
/// Idle connections to one server. Servers reset what goes beyond their cap over all gateways.
const IDLE_COUNT: usize = 2;
/// Part of the time that a server says it keeps idle connections for which it is made use of.
const KEPT_PART: f64 = 0.6;

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
pub struct Order {
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether it may be sent again after no response or a reset.
    pub may_repeat: bool,
}

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing reached the server.
    NotSent,
    /// It was written, in part at least, and may have run.
    MayHaveRun,
}

/// An answer's head, with the connection that its body comes on.
pub struct Answer {
    pub response: Response<Incoming>,
    pub link: Link,
}

struct Idle {
    link: Link,
    since: Instant,
    /// How long the server keeps it.
    kept: Duration,
}

/// Idle connections, by incarnation and address.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<(String, SocketAddr), Vec<Idle>>>,
    open: Rc<Cell<usize>>,
    /// Gateways that keep connections to the servers, as far as is known.
    gateways: Cell<u32>,
}

impl Pool {
    /// Takes notice of how many gateways there are.
    pub fn note_gateways(&self, gateways: u32) {
        self.gateways.set(gateways);
    }

    /// How long idle connections may be used for what may be sent again.
    fn idle_most(&self, max_connections: u32) -> Duration {
        let share = f64::from(max_connections) * LONG_PART / f64::from(self.gateways.get().max(1));
        let has_room = self.gateways.get() > 0 && share >= IDLE_COUNT as f64;
        if has_room {
            IDLE_LONG
        } else {
            IDLE_MOST
        }
    }

    fn take(&self, server: &Server, may_repeat: bool) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let here = idle.get_mut(&(server.id.clone(), server.address))?;
        let now = Instant::now();
        here.retain(|idle| now.duration_since(idle.since) < idle.kept && !idle.link.is_closed());
        let rested = |idle: &Idle| now.duration_since(idle.since) >= REST;
        // What may be sent again takes the one that has rested longest, and leaves the others to what may not.
        let at = if may_repeat {
            here.iter().position(rested)?
        } else {
            here.iter().rposition(|idle| rested(idle) && now.duration_since(idle.since) < IDLE_MOST)?
        };
        let link = here.remove(at).link;
        link.clean().then_some(link)
    }

    /// Keeps a connection whose answer has come whole.
    pub fn give_back(&self, server: &Server, link: Link, answer: &HeaderMap, max_connections: u32) {
        let closes = answer
            .get(hyper::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes || link.is_closed() {
            return;
        }
        let told = answer.get(KEEP_ALIVE).and_then(|value| value.to_str().ok()).and_then(timeout_of);
        let most = self.idle_most(max_connections);
        let kept = told.map_or(most, |told| told.mul_f64(KEPT_PART).min(most));
        let mut idle = self.idle.borrow_mut();
        let here = idle.entry((server.id.clone(), server.address)).or_default();
        if here.len() >= IDLE_COUNT {
            here.remove(0);
        }
        here.push(Idle { link, since: Instant::now(), kept });
    }

    /// Closes connections that have stood idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| now.duration_since(idle.since) < idle.kept && !idle.link.is_closed());
            !idle.is_empty()
        });
    }

    /// Closes the idle connections to a server that fell silent.
    pub fn forget(&self, server: &Server) {
        self.idle.borrow_mut().remove(&(server.id.clone(), server.address));
    }

    /// Sends a request to a server and waits for the head of its answer. Dropping the future gives the attempt up.
    /// `may_send` is asked directly before anything is written.
    pub async fn send(
        &self,
        server: &Server,
        order: &Order,
        may_send: impl Fn() -> bool,
    ) -> Result<Answer, Failure> {
        let mut request = request_of(server, order);
        let mut may_repeat = order.may_repeat;
        loop {
            let (mut link, kept) = match self.take(server, order.may_repeat) {
                Some(link) => (link, true),
                None => {
                    let opened = Link::open(server.address, CONNECT_MOST, Some(self.open.clone())).await;
                    (opened.map_err(|_| Failure::NotSent)?, false)
                }
            };
            if link.ready().await {
                if !may_send() {
                    return Err(Failure::NotSent);
                }
                match link.try_send(request).await {
                    Ok(response) => return Ok(Answer { response, link }),
                    Err(mut e) => match e.take_message() {
                        Some(unsent) => request = unsent,
                        None if kept && may_repeat => {
                            // Its server had dropped the connection: once more, to the same server.
                            may_repeat = false;
                            request = request_of(server, order);
                        }
                        None => return Err(Failure::MayHaveRun),
                    },
                }
            }
            // It was closed before anything was written; a kept one is replaced.
            if !kept {
                return Err(Failure::NotSent);
            }
        }
    }
}

/// The request to a server: it names the incarnation, so that no other one runs it.
fn request_of(server: &Server, order: &Order) -> Request<Full<Bytes>> {
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
