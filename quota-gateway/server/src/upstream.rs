//! Connections to servers, and attempts on them: what was sent, and how it ended.

use crate::body::{Chunk, Outgoing, Passed, ResponseBody, Sendable, MAX_BUFFERED_BYTES};
use crate::request_budget::RequestBudget;
use crate::shard_map::{ShardRouting, EPOCH, MAX_MAP_UPDATE_WAIT};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use marblecroft_quota_gateway_core::{Lifecycle, LoadReport, Scope, ServerId, ServerInfo, Status, Time};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;
use tracing::warn;

/// Bodies are at most this long, either way.
pub const MAX_BODY: usize = 32 << 20;
/// Share of the idle time that servers allow after which a connection is closed here: a request must not
/// cross the server's closing, as it would end as a reset and may not be repeated.
const IDLE_SHARE: f64 = 0.75;
/// Servers, and machines on the way to them, may close connections far earlier than the settings say, and the word of
/// it may come late. Taken for such a closing is a reset that comes at once, within the time in which a connection
/// comes up (this at least), where one that cuts work off comes later ...
const AT_ONCE: Duration = Duration::from_millis(2);
/// ... on a connection that had been idle for this long at least. Bounds what cuts taken for closings can do.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(20);
/// The idle time that is allowed doubles in this time after a closing that was learnt of, up to the settings' share.
const IDLE_RECOVERY: Duration = Duration::from_secs(10);
/// A connection that has just brought an answer is not used again for this long. Some servers send an answer twice, the
/// second 0.5 to 3.7 ms late (31 of them on four short days): behind a further request it would be taken for that one's.
/// Guards against answers that are another request's; hurts by a further connection where requests to a server follow on
/// each other faster.
const REUSE_DELAY: Duration = Duration::from_millis(15);
/// Weight of a connection's time to come up in their mean.
const CONNECT_WEIGHT: f64 = 0.1;
/// The most that a server's answer is reckoned to take on its way here: connections that come up slowly tell of busy
/// servers, not of long ways.
const MAX_RESPONSE_MARGIN: Duration = Duration::from_millis(10);

pub const EXPIRES_IN: HeaderName = HeaderName::from_static("x-expires-in");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-never-ran");
const METER: HeaderName = HeaderName::from_static("x-meter");
const LOAD: HeaderName = HeaderName::from_static("endpoint-load-metrics");

/// A short answer counts only when it has come whole: a refusal proves nothing before, and a 200 serves nobody. One
/// that does not go on for this long is spoilt: it may keep its connection open for good, and another attempt is
/// possible while nothing has gone out.
const SHORT_BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// An answer that does not say how long it is and is not whole after this time is taken for a long one.
const MAX_BUFFERING_TIME: Duration = Duration::from_millis(150);
/// A long answer has begun to go out, so a server that pauses is waited for for longer.
const STREAM_TIMEOUT: Duration = Duration::from_secs(10);
/// The most that a customer's use can be, in percent: a hundred times its quota.
const MAX_METER: f64 = 10_000.0;
/// The longest queue, in requests, that a server can have.
const MAX_REPORTED_QUEUE: f64 = 100_000.0;
/// The largest share of its processor that one can say is busy: all of it, and some for noise.
const MAX_REPORTED_UTILIZATION: f64 = 1.5;

/// Reads a list of servers to its end; `None` when it is cut off or too long.
pub async fn collect(body: Incoming) -> Option<Bytes> {
    Limited::new(body, MAX_BUFFERED_BYTES).collect().await.ok().map(|whole| whole.to_bytes())
}

/// The next bytes of a body; `None` at its end.
pub async fn more(body: &mut Incoming) -> hyper::Result<Option<Bytes>> {
    while let Some(frame) = body.frame().await {
        // Trailers are left: nobody asks for them.
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// How much of an answer has come.
enum BodyStart {
    Complete(Bytes),
    /// So far.
    Partial(Bytes),
    Broken,
}

/// Reads an answer that may turn out to be long.
async fn read_short(body: &mut Incoming, account: &RequestBudget) -> BodyStart {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64) {
        return BodyStart::Partial(Bytes::new());
    }
    let hold = Instant::now() + account.limit_wait(MAX_BUFFERING_TIME);
    let mut come = Vec::new();
    loop {
        let pause = if length.is_some() {
            account.limit_wait(SHORT_BODY_TIMEOUT)
        } else {
            hold.saturating_duration_since(Instant::now())
        };
        match timeout(pause, more(body)).await {
            Ok(Ok(Some(data))) => come.extend_from_slice(&data),
            Ok(Ok(None)) => return BodyStart::Complete(come.into()),
            Err(_) if length.is_none() => return BodyStart::Partial(come.into()),
            Ok(Err(_)) | Err(_) => return BodyStart::Broken,
        }
        if come.len() > MAX_BUFFERED_BYTES {
            return BodyStart::Partial(come.into());
        }
    }
}

/// What every attempt of a request carries, unchanged from the client.
pub struct UpstreamRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Sendable,
    /// The firm whose book it writes, where there are books.
    pub writes: Option<u64>,
    /// What its client's time is left for.
    pub account: Rc<RequestBudget>,
    /// Set with the final answer. Nothing is sent for the request after that, also where attempts that are
    /// still connecting may not be cancelled.
    pub finished: Cell<bool>,
}

impl UpstreamRequest {
    /// The id that its client gave it; every request that comes this far has one.
    pub fn trace(&self) -> &str {
        self.headers.get("x-trace-id").and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// How much of the body has been passed on; a short one goes out whole.
    pub fn passed(&self) -> Passed {
        self.body.flow().map_or(Passed::All, |flow| flow.passed())
    }
}

/// A server's 200 answer: whole, or a long one that has begun.
pub struct ServedResponse {
    pub body: ResponseBody,
    pub content_type: Option<HeaderValue>,
}

/// How an attempt ended.
pub struct AttemptEnd {
    pub status: Status,
    pub metered: Option<f64>,
    pub report: LoadReport,
    /// With [`Status::Ok`] alone, and when it has not begun to go out before.
    pub served: Option<ServedResponse>,
    /// The cell of its book, where another one than the attempt went to or met.
    pub moved: Option<u32>,
}

impl From<Status> for AttemptEnd {
    fn from(status: Status) -> AttemptEnd {
        AttemptEnd { status, metered: None, report: LoadReport::default(), served: None, moved: None }
    }
}

/// A connection that carries what a request passes on.
pub type Connection = marblecroft_transport::connection::ClientConnection<Outgoing>;

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// How long a connection may have stood idle to be used again.
struct IdleLimit {
    max: Duration,
    /// What the last connection that was lost showed, and when.
    learned: Cell<Option<(Duration, Instant)>>,
}

impl IdleLimit {
    fn at(&self, now: Instant) -> Duration {
        self.learned.get().map_or(self.max, |(limit, since)| {
            let doublings = now.duration_since(since).as_secs_f64() / IDLE_RECOVERY.as_secs_f64();
            self.max.min(limit.mul_f64(doublings.min(32.0).exp2()))
        })
    }

    /// A connection that had stood idle for so long turned out to be closed.
    fn closed(&self, idle: Duration, now: Instant) {
        if idle >= MIN_IDLE_TIMEOUT {
            self.learned.set(Some((self.at(now).min(idle.mul_f64(IDLE_SHARE)), now)));
        }
    }
}

/// A server as one list had it. An address may be another's later on, and a server that has started anew knows
/// nothing of the connections from before, so links are kept under all three.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerProcess {
    server: ServerId,
    pub addr: SocketAddr,
    started: Option<Time>,
}

/// The servers' addresses and the connections to them.
pub struct Upstream {
    connect_timeout: Duration,
    idle_limit: IdleLimit,
    /// Mean time in which a connection comes up.
    connect_time: Cell<Duration>,
    budget: Cell<usize>,
    open: Rc<Cell<usize>>,
    /// Servers that are listed, and whether as running.
    servers: RefCell<BTreeMap<ServerId, (ServerProcess, Lifecycle)>>,
    /// Those that the operators leave out.
    disabled: RefCell<BTreeSet<ServerId>>,
    /// Idle connections to those that run, the most recently used last.
    idle: RefCell<BTreeMap<ServerProcess, Vec<IdleConnection>>>,
    /// When each of them was last heard of on a connection, be it by its end.
    last_heard_at: RefCell<BTreeMap<ServerProcess, Instant>>,
    malformed: [Cell<bool>; 2],
    shard_routing: Option<Rc<ShardRouting>>,
}

/// An attempt that has no answer yet. A server that has said nothing at all since the attempt began may be a
/// machine that has vanished: connections to it stay open and silent, while new ones fail and so prove that
/// nothing ran. When such an attempt is given up, the idle connections are not used again.
struct PendingResponse<'a> {
    upstream: &'a Upstream,
    peer: ServerProcess,
    begun: Instant,
}

impl Drop for PendingResponse<'_> {
    fn drop(&mut self) {
        let heard = self.upstream.last_heard_at.borrow().get(&self.peer).copied();
        if heard.is_none_or(|heard| heard < self.begun) {
            self.upstream.idle.borrow_mut().remove(&self.peer);
        }
    }
}

impl Upstream {
    pub fn new(
        connect_timeout: Duration,
        idle: Duration,
        budget: usize,
        shard_routing: Option<Rc<ShardRouting>>,
    ) -> Upstream {
        Upstream {
            connect_timeout,
            idle_limit: IdleLimit { max: idle.mul_f64(IDLE_SHARE), learned: Cell::new(None) },
            connect_time: Cell::new(AT_ONCE),
            budget: Cell::new(budget),
            open: Rc::default(),
            servers: RefCell::default(),
            disabled: RefCell::default(),
            idle: RefCell::default(),
            last_heard_at: RefCell::default(),
            malformed: Default::default(),
            shard_routing,
        }
    }

    /// Connections that may be open from now on.
    pub fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
        while self.open.get() > budget && self.close_one_idle() {}
    }

    /// Follows the list: addresses, and no idle connection to what drains, is gone or has started anew.
    pub fn on_server_list(&self, scope: Scope, servers: &[ServerInfo], addresses: &[(ServerId, SocketAddr)]) {
        let mut known = self.servers.borrow_mut();
        if scope == Scope::Full {
            known.clear();
        }
        for (server, &(id, addr)) in servers.iter().zip(addresses) {
            if server.lifecycle == Lifecycle::Gone {
                known.remove(&id);
            } else {
                let peer = ServerProcess { server: id, addr, started: server.started };
                known.insert(id, (peer, server.lifecycle));
            }
        }
        drop(known);
        self.idle.borrow_mut().retain(|peer, _| self.is_current(peer));
        self.last_heard_at.borrow_mut().retain(|peer, _| self.is_current(peer));
    }

    pub fn process_of(&self, server: ServerId) -> Option<ServerProcess> {
        self.servers.borrow().get(&server).map(|known| known.0)
    }

    /// Whether the list has it still, and as running.
    fn is_current(&self, peer: &ServerProcess) -> bool {
        self.servers.borrow().get(&peer.server) == Some(&(*peer, Lifecycle::Running))
    }

    /// The operators leave a server out, or put it back.
    pub fn set_disabled(&self, server: ServerId, out: bool) {
        let mut left_out = self.disabled.borrow_mut();
        if out {
            left_out.insert(server);
        } else {
            left_out.remove(&server);
        }
    }

    /// Whether an attempt that was decided on a while ago may still begin. A connection takes its time to come up, and
    /// meanwhile the client may have left, the server may have been told to drain, and a window may have ended.
    fn may_begin(&self, peer: &ServerProcess, order: &UpstreamRequest, begin_by: Option<Time>) -> bool {
        !order.finished.get()
            && self.is_current(peer)
            && !self.disabled.borrow().contains(&peer.server)
            && begin_by.is_none_or(|by| order.account.is_before(by))
    }

    fn on_heard(&self, peer: ServerProcess) {
        // An attempt may outlast its server, which nobody would forget then.
        if self.is_current(&peer) {
            self.last_heard_at.borrow_mut().insert(peer, Instant::now());
        }
    }

    /// Closes connections that have stood idle for too long, and forgets those that can't be used.
    pub fn sweep(&self) {
        let limit = self.idle_limit.at(Instant::now());
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|i| i.since.elapsed() < limit && i.connection.is_reusable());
            !idle.is_empty()
        });
    }

    /// Closes the connection that has stood idle the longest; whether there was one.
    pub fn close_one_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|idle| !idle.is_empty()).min_by_key(|idle| idle[0].since);
        oldest.map(|idle| idle.remove(0)).is_some()
    }

    /// A connection that is kept, and how long it has been idle.
    fn take_idle(&self, peer: &ServerProcess) -> Option<(Connection, Duration)> {
        let mut idle = self.idle.borrow_mut();
        let here = idle.get_mut(peer)?;
        let now = Instant::now();
        let limit = self.idle_limit.at(now);
        // In the order in which they were given back.
        let rested = here.partition_point(|i| now.duration_since(i.since) >= REUSE_DELAY);
        let newest_first = (0..rested).rev().map(|at| here.remove(at));
        newest_first
            .map(|i| (i.connection, now.duration_since(i.since)))
            .find(|(link, idle)| *idle < limit && link.is_reusable())
    }

    async fn connect(&self, peer: &ServerProcess, account: &RequestBudget) -> io::Result<Connection> {
        let (begun, within) = (Instant::now(), account.begin_connect(self.connect_timeout));
        let link = Connection::connect(peer.addr, within, Some(self.open.clone())).await?;
        let (mean, took) = (self.connect_time.get(), begun.elapsed());
        self.connect_time.set(mean.mul_f64(1.0 - CONNECT_WEIGHT) + took.mul_f64(CONNECT_WEIGHT));
        Ok(link)
    }

    fn put_back(&self, peer: ServerProcess, link: Connection) {
        if !link.is_closed() && self.is_current(&peer) {
            let since = Instant::now();
            self.idle.borrow_mut().entry(peer).or_default().push(IdleConnection { connection: link, since });
        }
    }

    /// One attempt, of which nothing is written at `begin_by` or later, to be given up at `until` by dropping it; `begun` is
    /// called with a long answer when it begins.
    pub async fn attempt(
        &self,
        peer: ServerProcess,
        order: &UpstreamRequest,
        until: Option<Time>,
        begin_by: Option<Time>,
        begun: impl Fn(ServedResponse),
    ) -> AttemptEnd {
        // Passed on already: there is nothing left to send.
        let Some(body) = Outgoing::of(&order.body) else { return Status::NotSent.into() };
        let mut request = Request::new(body);
        *request.method_mut() = order.method.clone();
        *request.uri_mut() = order.uri.clone();
        *request.headers_mut() = order.headers.clone();
        if let Ok(host) = HeaderValue::from_str(&peer.addr.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        loop {
            let (mut link, idle) = match self.take_idle(&peer) {
                Some((link, idle)) => (link, Some(idle)),
                None => {
                    if self.open.get() >= self.budget.get() && !self.close_one_idle() {
                        // Want of descriptors here, and nothing that the server has done.
                        request.into_body().put_back();
                        return Status::NotSent.into();
                    }
                    match self.connect(&peer, &order.account).await {
                        Ok(link) => (link, None),
                        Err(_) => {
                            request.into_body().put_back();
                            return Status::ConnectFailed.into();
                        }
                    }
                }
            };
            if link.ready().await {
                if !self.may_begin(&peer, order, begin_by) {
                    request.into_body().put_back();
                    self.put_back(peer, link);
                    return Status::NotSent.into();
                }
                // A connection comes up with one way there and one back.
                let back = (self.connect_time.get() / 2).min(MAX_RESPONSE_MARGIN);
                let Some(left) = order.account.begin_attempt(until, back) else {
                    request.into_body().put_back();
                    self.put_back(peer, link);
                    return Status::NotSent.into();
                };
                if let Ok(left) = HeaderValue::from_str(&format!("{:.3}", left.as_secs_f64())) {
                    request.headers_mut().insert(EXPIRES_IN, left);
                }
                if let Some((books, firm)) = self.shard_routing.as_ref().zip(order.writes) {
                    let Some(epoch) = books.epoch(firm, peer.server) else {
                        order.account.cancel_attempt();
                        request.into_body().put_back();
                        self.put_back(peer, link);
                        return rejected_by_cell(books, firm, order).await;
                    };
                    request.headers_mut().insert(EPOCH, epoch);
                }
                let written = Instant::now();
                let _unanswered = PendingResponse { upstream: self, peer, begun: written };
                let sent = link.try_send(request).await;
                self.on_heard(peer);
                match sent {
                    Ok(answer) => {
                        let due = |books: &Rc<ShardRouting>| books.epoch_due(answer.headers());
                        let books = self.shard_routing.as_ref().filter(|_| order.writes.is_some());
                        let elsewhere = books.and_then(due).is_some();
                        let ending = self.read_response(peer, link, order, answer, begun).await;
                        return match (books, order.writes) {
                            // It never ran, and says nothing of the server.
                            (Some(books), Some(firm)) if elsewhere && ending.status == Status::Rejected => {
                                rejected_by_cell(books, firm, order).await
                            }
                            _ => ending,
                        };
                    }
                    Err(mut e) => match e.take_message() {
                        Some(unsent) => {
                            order.account.cancel_attempt();
                            request = unsent;
                        }
                        // The last byte was not written, so it never ran.
                        None if order.passed() != Passed::All => return Status::ConnectFailed.into(),
                        // Written, in part at least: nothing proves that it was not all.
                        None => {
                            let at_once = written.elapsed() <= self.connect_time.get().max(AT_ONCE);
                            if let Some(idle) = idle.filter(|_| at_once) {
                                self.idle_limit.closed(idle, written);
                            }
                            return Status::Reset.into();
                        }
                    },
                }
            }
            // The connection was closed before anything was written. One that was kept is replaced, and this
            // is still the same attempt; a new one will not come up.
            if idle.is_none() {
                request.into_body().put_back();
                return Status::ConnectFailed.into();
            }
        }
    }

    async fn read_response(
        &self,
        peer: ServerProcess,
        link: Connection,
        order: &UpstreamRequest,
        answer: Response<Incoming>,
        begun: impl Fn(ServedResponse),
    ) -> AttemptEnd {
        let (head, mut body) = answer.into_parts();
        let never_ran = head.headers.get(NOT_EXECUTED).is_some_and(|mark| mark == "1");
        let status = match head.status {
            StatusCode::OK => Status::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => Status::Rejected,
            _ => Status::Error,
        };
        let mut ending = AttemptEnd {
            metered: self.readable(0, "meter", &head.headers, METER, percent),
            report: self.readable(1, "load report", &head.headers, LOAD, load).unwrap_or_default(),
            ..status.into()
        };
        // An error's status line has told all that matters: nobody waits for the rest, and the connection goes with
        // it.
        if status == Status::Error {
            return ending;
        }
        // One that only the end of its connection ends may have been cut anywhere, unless that end was announced.
        let length = body.size_hint().exact();
        let bounded = length.is_some()
            || head.headers.contains_key(TRANSFER_ENCODING)
            || closes_connection(&head.headers);
        let read = match length {
            Some(length) if length > MAX_BODY as u64 => BodyStart::Broken,
            _ if bounded => read_short(&mut body, &order.account).await,
            _ => BodyStart::Broken,
        };
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        match read {
            BodyStart::Complete(whole) => {
                if status == Status::Ok {
                    ending.served = Some(ServedResponse { body: whole.into(), content_type });
                }
            }
            BodyStart::Partial(come) if status == Status::Ok => {
                let (pieces, words) = ResponseBody::flow(length);
                begun(ServedResponse { body: words, content_type });
                ending.status = forward(come, body, &pieces).await;
                if ending.status == Status::Reset {
                    order.account.on_response_broken_off();
                }
                self.on_heard(peer);
            }
            // Also a refusal that is spoilt or too long: its mark proves nothing then.
            BodyStart::Partial(_) | BodyStart::Broken => ending.status = Status::Reset,
        }
        // With a part of the request unsent, what is sent next would be taken for the rest.
        if matches!(ending.status, Status::Ok | Status::Rejected) && order.passed() == Passed::All {
            self.put_back(peer, link);
        }
        ending
    }

    /// A header's value, read; one that cannot be is passed over, and logged the first time.
    fn readable<T>(
        &self,
        kind: usize,
        what: &str,
        headers: &HeaderMap,
        name: HeaderName,
        read: fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = headers.get(name)?;
        let read = value.to_str().ok().and_then(read);
        if read.is_none() && !self.malformed[kind].replace(true) {
            warn!(what, value = ?value, "malformed {what} {value:?}, ignored from now on");
        }
        read
    }
}

/// An attempt that was not written, or turned away, as its book is not open there: it ends once it is known where it is, or that it
/// will be nowhere soon.
async fn rejected_by_cell(books: &ShardRouting, firm: u64, order: &UpstreamRequest) -> AttemptEnd {
    let moved = books.wait_for_move(firm, order.account.limit_wait(MAX_MAP_UPDATE_WAIT)).await;
    AttemptEnd { moved, ..Status::NotSent.into() }
}

/// Whether the end of an answer's connection is the answer's end, as it says.
fn closes_connection(headers: &HeaderMap) -> bool {
    let close = |value: &HeaderValue| {
        value.to_str().is_ok_and(|text| text.split(',').any(|word| word.trim().eq_ignore_ascii_case("close")))
    };
    headers.get_all(CONNECTION).iter().any(close)
}

/// Passes a long answer on; how it ended.
async fn forward(come: Bytes, mut body: Incoming, pieces: &Sender<Chunk>) -> Status {
    let mut next = Some(come).filter(|come| !come.is_empty());
    loop {
        if let Some(data) = next.take() {
            if pieces.send(Chunk::Data(data)).await.is_err() {
                return Status::Cancelled;
            }
        }
        tokio::select! {
            read = timeout(STREAM_TIMEOUT, more(&mut body)) => match read {
                Ok(Ok(Some(data))) => next = Some(data),
                Ok(Ok(None)) => break,
                // The sender goes, and the client sees that it is cut off.
                Ok(Err(_)) | Err(_) => return Status::Reset,
            },
            () = pieces.closed() => return Status::Cancelled,
        }
    }
    // A client that has had the length that it was told does not wait for the end.
    drop(pieces.send(Chunk::End).await);
    Status::Ok
}

fn percent(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|used| (0.0..=MAX_METER).contains(used)).map(|used| used / 100.0)
}

/// All fields of a report must be readable: what spoilt one may have spoilt the others.
fn load(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.trim().strip_prefix("TEXT ")?.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        let (field, most) = match name.trim() {
            "queue" => (&mut report.queue, MAX_REPORTED_QUEUE),
            "util" => (&mut report.utilization, MAX_REPORTED_UTILIZATION),
            _ if value.is_finite() => continue,
            _ => return None,
        };
        *field = Some(value).filter(|value| (0.0..=most).contains(value));
        (*field)?;
    }
    Some(report)
}
