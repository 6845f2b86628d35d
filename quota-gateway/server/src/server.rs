//! Clients' connections: requests read and checked, readiness, and final answers.

use crate::body::{Passed, ResponseBody, Sendable, StreamedBody, TransferRate, MAX_BUFFERED_BYTES};
use crate::engine::{Answer, Engine};
use crate::request_budget::RequestBudget;
use crate::upstream::{more, UpstreamRequest, EXPIRES_IN, MAX_BODY};
use futures_util::FutureExt;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use marblecroft_deadline::STALL_TIMEOUT;
use marblecroft_quota_gateway_core::{ClassId, CustomerId, Effect, NewRequest, PlanId, RequestId};
use marblecroft_simulator_adapter::Site;
use marblecroft_transport::framing::{Framing, HeadScanner};
use marblecroft_transport::socket::{HyperIo, Socket, SocketObserver};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::io;
use std::panic::AssertUnwindSafe;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};
use tracing::warn;

/// Bounds of what a client may take its time with, in each case so that whoever says nothing, or not all, has an
/// error or a close within three seconds: a head (the first one from the start of its connection) ...
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// ... and the time between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The system tells the age of what has come in its own ticks, of which the longest in use is this. What is younger has
/// only just come.
const TICK: Duration = Duration::from_millis(10);
/// A connection that is to close waits this long for the head of a request to come to its end.
const DRAIN_HEAD_TIMEOUT: Duration = Duration::from_millis(250);
/// When the gateway drains or ends, connections that are in use get their next request answered, which closes them;
/// one on which nothing has come for this long is not in use. Bounds how long a client holds on to a gateway that
/// wants to be left alone; hurts clients that ask less often, as they connect anew.
const DRAIN_IDLE: Duration = Duration::from_millis(500);
/// A connection about to be closed on which bytes have come after all is looked at again after this time.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// After SIGTERM a first request that has begun is waited for for this long: new connections come for 0.4 s, heads may
/// take 2 s.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(2600);
/// SIGKILL comes the longest deadline after SIGTERM (3 s at most), and this long more, of which some is left here for
/// the answers' way out.
const KILL_AFTER: (Duration, Duration) = (Duration::from_secs(3), Duration::from_millis(550));
/// Time in which a connection just accepted brings its first request.
const CLOSE_DELAY: Duration = Duration::from_millis(100);
/// With more connections than there is room for and none that can be closed yet, they are looked through again
/// after this time.
const CROWDED_ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// A head holds at most this much, and as much is read of a body at once. Guards memory: hyper's own bound is
/// some hundred KiB for each connection.
const MAX_HEAD: usize = 16 << 10;
/// ... and so many lines.
const MAX_HEADERS: usize = 64;
/// A customer's number is below this (protocol).
const MAX_CUSTOMER_ID: u64 = 1 << 33;
/// Digits of a customer's number and of an id.
const MAX_DIGITS: usize = 16;
/// Part of the clients' connections that may stand idle behind an answer. Clients too can hold only so many, and some
/// ask once and keep theirs: held for all of [`IDLE_MOST`], these would let nobody else connect while the gateway is at
/// ease. Covers crowds that ask and stay, and pools that grow in a burst; hurts clients that take turns on more
/// connections than these, as they connect anew.
const MAX_IDLE_SHARE: f64 = 0.25;
/// Pause after an accept that failed, for want of descriptors above all.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

const TRACE_ID: HeaderName = HeaderName::from_static("x-trace-id");
const CLASS: HeaderName = HeaderName::from_static("x-qos");
const PLAN: HeaderName = HeaderName::from_static("x-contract");
const CUSTOMER: HeaderName = HeaderName::from_static("x-client-id");
const METERING: HeaderName = HeaderName::from_static("x-metering");
const RETRY_HEADER: HeaderName = HeaderName::from_static("x-second-try");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A request that reaches no server: the answer's status, and why.
type Rejected = (StatusCode, String);

fn bad(why: impl Into<String>) -> Rejected {
    (StatusCode::BAD_REQUEST, why.into())
}

/// What a client's connection is at.
#[derive(Clone, Copy)]
enum Phase {
    /// No request is open, since then.
    Idle(Instant),
    Open,
    /// An answer goes out, but is not yet all with the system; since when the client takes nothing of it.
    Answering(Option<Instant>),
}

/// A client's connection.
struct ClientConnection {
    phase: Cell<Phase>,
    has_sent_request: Cell<bool>,
    /// hyper has not yet taken the whole answer, so what it passes on to the system is not all.
    body_unfinished: Cell<bool>,
    /// A request was turned away, perhaps with a part of it unread.
    rejected: Cell<bool>,
    /// From when on it is closed if it is idle, and after its next answer in any case.
    close_requested_at: Cell<Option<Instant>>,
    /// `told` has changed.
    changed: Notify,
    heads: RefCell<HeadScanner>,
    /// When the first bytes came of a head that has not ended.
    head_since: Cell<Option<Instant>>,
    /// How long the last whole head took to come.
    head_took: Cell<Duration>,
    /// That of the request whose answer is owed or goes out.
    account: RefCell<Option<Rc<RequestBudget>>>,
}

impl ClientConnection {
    fn new() -> Rc<ClientConnection> {
        Rc::new(ClientConnection {
            phase: Cell::new(Phase::Idle(Instant::now())),
            has_sent_request: Cell::new(false),
            body_unfinished: Cell::new(false),
            rejected: Cell::new(false),
            close_requested_at: Cell::new(None),
            changed: Notify::new(),
            heads: RefCell::default(),
            head_since: Cell::new(None),
            head_took: Cell::default(),
            account: RefCell::default(),
        })
    }

    fn request_close(&self, at: Instant) {
        self.close_requested_at.set(Some(self.close_requested_at.get().map_or(at, |told| told.min(at))));
        self.changed.notify_one();
    }

    /// It may stay after all.
    fn cancel_close(&self) {
        self.close_requested_at.set(None);
        self.changed.notify_one();
    }

    fn idle_since(&self) -> Option<Instant> {
        match self.phase.get() {
            Phase::Idle(since) => Some(since),
            Phase::Open | Phase::Answering(_) => None,
        }
    }

    /// When its time is up, as things stand; `None` while it waits for an answer.
    fn due(&self) -> Option<Instant> {
        match (self.phase.get(), self.head_since.get()) {
            (Phase::Open, _) => None,
            (Phase::Answering(blocked), _) => blocked.map(|since| since + STALL_TIMEOUT),
            (Phase::Idle(_), Some(head)) if self.has_sent_request.get() => {
                let told = self.close_requested_at.get().map(|told| told + DRAIN_HEAD_TIMEOUT);
                told.into_iter().chain([head + HEAD_TIMEOUT]).min()
            }
            (Phase::Idle(since), Some(_)) => {
                let told = self.close_requested_at.get().map(|told| told + DRAIN_HEAD_TIMEOUT);
                told.into_iter().chain([since + HEAD_TIMEOUT]).min()
            }
            (Phase::Idle(since), None) => {
                let most = since + if self.has_sent_request.get() { IDLE_TIMEOUT } else { HEAD_TIMEOUT };
                self.close_requested_at.get().into_iter().chain([most]).min()
            }
        }
    }
}

impl SocketObserver for ClientConnection {
    fn on_received(&self, bytes: &[u8]) {
        let mut heads = self.heads.borrow_mut();
        heads.scan(bytes);
        if !heads.is_in_head() {
            let since = self.head_since.take();
            self.head_took.set(since.map_or(Duration::ZERO, |since| since.elapsed()));
        } else if self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
        }
    }

    fn permits_output(&self) -> bool {
        self.idle_since().is_none()
    }

    fn on_blocked(&self, blocked: bool) {
        if let Phase::Answering(since) = self.phase.get() {
            self.phase.set(Phase::Answering(blocked.then(|| since.unwrap_or_else(Instant::now))));
        }
    }

    fn on_flushed(&self) {
        if matches!(self.phase.get(), Phase::Answering(_)) && !self.body_unfinished.get() {
            self.phase.set(Phase::Idle(Instant::now()));
            self.account.take().iter().for_each(|account| account.on_flushed());
        }
    }
}

/// An answer's body, which tells when hyper has taken all of it.
struct TrackedBody {
    body: ResponseBody,
    client: Rc<ClientConnection>,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.client.body_unfinished.set(false);
    }
}

/// What the gateway does with clients that come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainState {
    Open,
    /// It answers, but keeps no connection and wants no more clients.
    Draining,
    /// The same, and the process ends ...
    Ending,
    /// ... while another one of this gateway takes clients.
    Replaced,
}

pub struct ClientServer {
    engine: Rc<Engine>,
    site: Site,
    budget: Cell<usize>,
    ready: Cell<bool>,
    /// Connections are accepted.
    accepting: Cell<bool>,
    service: Cell<DrainState>,
    /// A connection waits for room: those that end their request make it.
    crowded: Cell<bool>,
    accepted: Cell<u64>,
    clients: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    slot_freed: Notify,
    /// Ids of the requests that are open.
    ids: RefCell<HashSet<u64>>,
}

impl ClientServer {
    pub fn new(engine: Rc<Engine>, site: Site, budget: usize) -> Rc<ClientServer> {
        Rc::new(ClientServer {
            engine,
            site,
            budget: Cell::new(budget),
            ready: Cell::new(false),
            accepting: Cell::new(false),
            service: Cell::new(DrainState::Open),
            crowded: Cell::new(false),
            accepted: Cell::new(0),
            clients: RefCell::default(),
            slot_freed: Notify::new(),
            ids: RefCell::default(),
        })
    }

    /// A list of servers is held.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Accepts connections until dropped. While there are more than there is room for, further ones wait in the
    /// listener's queue.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let mut logged = false;
        self.accepting.set(true);
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_connection(stream),
                // It may be the client's doing or want of descriptors; either way not to be retried at once.
                Err(e) => {
                    if !std::mem::replace(&mut logged, true) {
                        warn!(error = %e, "accept: {e}");
                    }
                    if !self.engine.upstream.close_one_idle() {
                        self.close_one_idle();
                    }
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
            while self.clients.borrow().len() > self.budget.get() {
                self.crowded.set(true);
                // Those told to close may take their time, so others are told after a while.
                let pause = if self.close_one_idle() { CLOSE_DELAY } else { CROWDED_ACCEPT_BACKOFF };
                drop(timeout(pause, self.slot_freed.notified()).await);
            }
            self.crowded.set(false);
        }
    }

    /// Takes in at once what already waits in the listener's queue: the machine has accepted it.
    pub fn accept_queued(self: &Rc<Self>, listener: &TcpListener) {
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            self.spawn_connection(stream);
        }
    }

    fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        let number = self.accepted.get();
        self.accepted.set(number + 1);
        let client = ClientConnection::new();
        self.clients.borrow_mut().insert(number, client.clone());
        let front = self.clone();
        spawn_local(async move {
            front.serve(&client, stream).await;
            front.clients.borrow_mut().remove(&number);
            front.slot_freed.notify_one();
        });
    }

    async fn serve(self: &Rc<Self>, client: &Rc<ClientConnection>, stream: TcpStream) {
        let Ok(socket) = Socket::new(stream, client.clone()) else { return };
        let word = self.drive_connection(client, &socket).await;
        let unread = client.rejected.get() || word.is_some() || client.heads.borrow().is_in_body();
        socket.shutdown(&word.map(|(status, why)| raw_rejection(status, why)).unwrap_or_default());
        if unread || socket.would_reset_on_close() {
            socket.linger().await;
        }
    }

    /// Serves a connection to its end; what is left to say then. How else it ended is the client's affair: a
    /// request it had open was told as departed.
    async fn drive_connection(
        self: &Rc<Self>,
        client: &Rc<ClientConnection>,
        socket: &Rc<Socket<Rc<ClientConnection>>>,
    ) -> Option<(StatusCode, &'static str)> {
        let service = service_fn(|request| {
            let (front, client, socket) = (self.clone(), client.clone(), socket.clone());
            async move {
                client.has_sent_request.set(true);
                client.phase.set(Phase::Open);
                let framing = client.heads.borrow_mut().take_framing().unwrap_or(Framing::Ambiguous);
                let responding = front.respond(request, framing, &socket);
                let answered = AssertUnwindSafe(responding).catch_unwind().await;
                // The panic's own line is on standard error.
                let answer = answered
                    .unwrap_or_else(|_| Ok(plain_response(StatusCode::INTERNAL_SERVER_ERROR, "panic")));
                client.rejected.set(answer.is_err());
                let mut response = answer.unwrap_or_else(|(status, why)| plain_response(status, &why));
                if front.service.get() != DrainState::Open
                    || front.crowded.get()
                    || client.close_requested_at.get().is_some()
                    || framing == Framing::Ambiguous
                {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                client.phase.set(Phase::Answering(None));
                client.body_unfinished.set(true);
                front.close_excess_idle();
                Ok::<_, Infallible>(response.map(|words| TrackedBody { body: words, client }))
            }
        });
        let began = Instant::now();
        let mut connection = pin!(http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .max_headers(MAX_HEADERS)
            .serve_connection(HyperIo(socket.clone()), service));
        let mut look: Option<Instant> = None;
        loop {
            let due =
                client.due().unwrap_or_else(|| Instant::now() + HEAD_TIMEOUT).max(look.unwrap_or(began));
            tokio::select! {
                biased;
                ended = connection.as_mut() => {
                    let unreadable = ended.err().filter(|e| e.is_parse() && client.idle_since().is_some())?;
                    return Some(if unreadable.is_parse_too_large() {
                        (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "a head that is too long")
                    } else {
                        (StatusCode::BAD_REQUEST, "a request that is unreadable")
                    });
                }
                () = client.changed.notified() => {}
                // What it has asked goes with it.
                () = socket.peer_closed(|| matches!(client.phase.get(), Phase::Open)) => return None,
                () = sleep_until(due.into()) => {
                    // It may have moved on meanwhile: the time is not set anew with each request.
                    if client.due().is_some_and(|due| due <= Instant::now()) {
                        let idle = client.idle_since().is_some() && client.head_since.get().is_none();
                        if idle && look.is_none() && !socket.has_no_input() {
                            // A request is here that was not yet read, and is served first; or an end.
                            look = Some(Instant::now() + RECHECK_INTERVAL);
                            continue;
                        }
                        let head = client.idle_since().and(client.head_since.get());
                        return head.map(|_| (StatusCode::REQUEST_TIMEOUT, "the head did not come in time"));
                    }
                    look = None;
                }
            }
        }
    }

    /// Closes the connection that has asked nothing for the longest time, those that have never asked anything
    /// first, but none that is only just open; whether there was one. A request that crosses this is sent again
    /// by the client on a new connection.
    fn close_one_idle(&self) -> bool {
        let clients = self.clients.borrow();
        let idle = clients.values().filter_map(|client| Some((client.idle_since()?, client)));
        let idle = idle.filter(|(since, client)| {
            client.close_requested_at.get().is_none()
                && (client.has_sent_request.get() || since.elapsed() >= CLOSE_DELAY)
        });
        let longest = idle.min_by_key(|(since, client)| (client.has_sent_request.get(), *since));
        longest.map(|(since, client)| client.request_close(since)).is_some()
    }

    /// With more connections idle behind an answer than may be, closes the one that has been for the longest time.
    /// Each answer leaves one more at the most, so one is enough.
    fn close_excess_idle(&self) {
        let most = (self.budget.get() as f64 * MAX_IDLE_SHARE) as usize;
        let clients = self.clients.borrow();
        if clients.len() <= most {
            return;
        }
        let answered = clients
            .values()
            .filter(|client| client.has_sent_request.get() && client.close_requested_at.get().is_none());
        let idle: Vec<_> = answered.filter_map(|client| Some((client.idle_since()?, client))).collect();
        if idle.len() > most {
            let longest = idle.into_iter().min_by_key(|(since, _)| *since);
            longest.into_iter().for_each(|(since, client)| client.request_close(since));
        }
    }

    /// Whether this process takes clients.
    pub fn takes_clients(&self) -> bool {
        let leaving = matches!(self.service.get(), DrainState::Ending | DrainState::Replaced);
        self.ready.get() && self.accepting.get() && !leaving
    }

    /// Keeps no connection after its next answer, and none that stays idle.
    pub fn drain(&self) {
        if self.service.get() == DrainState::Open {
            self.service.set(DrainState::Draining);
            self.request_close_all();
        }
    }

    /// Takes clients again, and lets those stay that are still here.
    pub fn undrain(&self) {
        if self.service.get() == DrainState::Draining {
            self.service.set(DrainState::Open);
            self.clients.borrow().values().for_each(|client| client.cancel_close());
        }
    }

    pub fn draining(&self) -> bool {
        self.service.get() == DrainState::Draining
    }

    /// Drains for good: the process ends, `replaced` by another one or not.
    pub fn close(&self, replaced: bool) {
        // The gateway as a whole is up, unless it is drained.
        let up = replaced && !self.draining();
        self.service.set(if up { DrainState::Replaced } else { DrainState::Ending });
        self.request_close_all();
        let classes = &self.site.settings.classes;
        let longest = classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        self.engine.set_process_end(self.engine.clock.now().after(longest.min(KILL_AFTER.0) + KILL_AFTER.1));
    }

    /// Connections that may be open from now on.
    pub fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
        let over = self.clients.borrow().len().saturating_sub(budget);
        (0..over).all(|_| self.close_one_idle());
    }

    /// One that has asked nothing yet is only just open, and its first request on the way: it would be closed in the
    /// client's face.
    fn request_close_all(&self) {
        let at = Instant::now() + DRAIN_IDLE;
        for client in self.clients.borrow().values().filter(|client| client.has_sent_request.get()) {
            client.request_close(at);
        }
    }

    /// Waits until every connection on which something was asked has ended, those accepted last too, and those on
    /// which a first request has begun; that only for as long as a head may take, from SIGTERM on.
    pub async fn wait_until_empty(&self, terminated: Instant) {
        sleep(CLOSE_DELAY).await;
        let until = terminated + DRAIN_ACCEPT_TIME;
        let owed = |client: &Rc<ClientConnection>| {
            client.has_sent_request.get() || (client.head_since.get().is_some() && Instant::now() < until)
        };
        while self.clients.borrow().values().any(owed) {
            drop(timeout(CLOSE_DELAY, self.slot_freed.notified()).await);
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        framing: Framing,
        socket: &Socket<Rc<ClientConnection>>,
    ) -> Result<Response<ResponseBody>, Rejected> {
        if framing == Framing::Ambiguous {
            return Err(bad("more than one length, or one beside a transfer-encoding"));
        }
        if request.uri().path() == "/up" {
            let no = |why| Ok(plain_response(StatusCode::SERVICE_UNAVAILABLE, why));
            return match (request.method(), self.service.get()) {
                (&Method::GET, _) if !self.ready.get() => no("no list of servers yet"),
                (&Method::GET, DrainState::Draining) => no("draining"),
                (&Method::GET, DrainState::Ending) => no("ending"),
                (&Method::GET, DrainState::Open | DrainState::Replaced) => {
                    Ok(plain_response(StatusCode::OK, "ready"))
                }
                _ => Err(bad("/up takes GET")),
            };
        }
        let (request, order, _open) = self.read_request(request, socket).await?;
        let flow = order.body.flow().cloned();
        socket.observer.account.replace(Some(order.account.clone()));
        let (id, answered) = self.engine.on_request(request, order);
        // Dropped with what is below it: whatever comes of the rest of a body, the decisions hear that it is over.
        let mut owed = DisconnectGuard { engine: &self.engine, id: Some(id) };
        let answer = match flow {
            None => answered.await,
            Some(flow) => tokio::select! {
                biased;
                answer = answered => answer,
                rejected = broken_off(&flow) => return Err(rejected),
            },
        };
        owed.id = None;
        Ok(response_for(answer.unwrap_or(Answer::Broken)))
    }

    /// Takes an id for a request that is open; `None` when it is another's, which goes on undisturbed.
    fn open(&self, id: u64) -> Option<OpenIdGuard<'_>> {
        self.ids.borrow_mut().insert(id).then(|| OpenIdGuard { ids: &self.ids, id })
    }

    /// Checks a request and reads it whole.
    async fn read_request(
        &self,
        request: Request<Incoming>,
        socket: &Socket<Rc<ClientConnection>>,
    ) -> Result<(NewRequest, UpstreamRequest, OpenIdGuard<'_>), Rejected> {
        let (head, body) = request.into_parts();
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let first = head.uri.path().split('/').nth(1).unwrap_or_default();
        let class = place(&self.site.classes, first)
            .ok_or_else(|| (StatusCode::NOT_FOUND, format!("no class {first:?}")))?;
        if place(&self.site.classes, text(&head.headers, &CLASS)?) != Some(class) {
            return Err(bad(format!("{CLASS} is not the class of the path")));
        }
        let plan = place(&self.site.plans, text(&head.headers, &PLAN)?)
            .ok_or_else(|| bad(format!("{PLAN} names no plan")))?;
        let id = digits(text(&head.headers, &TRACE_ID)?).ok_or_else(|| unreadable(&TRACE_ID))?;
        let customer = digits(text(&head.headers, &CUSTOMER)?)
            .filter(|&number| number < MAX_CUSTOMER_ID)
            .map(CustomerId)
            .ok_or_else(|| unreadable(&CUSTOMER))?;
        let wait = seconds(text(&head.headers, &EXPIRES_IN)?).ok_or_else(|| unreadable(&EXPIRES_IN))?;
        // Guards against a request that stays for good: the settings bound what clients of a class wait.
        let wait = wait.min(self.site.settings.classes[class].deadline);
        let (units, gateways) =
            self.metering(text(&head.headers, &METERING)?).ok_or_else(|| unreadable(&METERING))?;
        let method = match self.site.settings.classes[class].effect {
            Effect::Safe => Method::GET,
            Effect::Keyed { .. } => {
                text(&head.headers, &IDEMPOTENCY_KEY)?;
                Method::POST
            }
            Effect::Unsafe => Method::POST,
        };
        if head.method != method {
            return Err(bad(format!("{first} takes {method}")));
        }
        let open = self.open(id).ok_or_else(|| bad(format!("{TRACE_ID} is that of an open request")))?;
        let uri = head.uri.path_and_query().cloned().map_or_else(Default::default, Into::into);

        if body.size_hint().lower() > MAX_BODY as u64 {
            return Err(payload_too_large());
        }
        let account = self.engine.accounts.begin(class, wait, socket.observer.head_took.get());
        let body = begin(body, &account).await?;
        // The time of a request counts from its last byte, and that of one whose body is still to come from then.
        let flows = body.flow().is_some();
        if !flows {
            // It may have lain in the queue of a full listener, or behind a loop that was busy or stood still.
            account.on_complete(
                socket.time_since_last_received().filter(|&ago| ago >= TICK).unwrap_or_default(),
            );
        }
        let deadline = account.latest_deadline();
        let headers = [TRACE_ID, IDEMPOTENCY_KEY, CONTENT_TYPE]
            .into_iter()
            .filter_map(|name| head.headers.get(&name).cloned().map(|value| (name, value)))
            .collect();
        let writes = (method != Method::GET).then_some(customer.0);
        let order =
            UpstreamRequest { method, uri, headers, body, writes, account, finished: Cell::new(false) };
        let request = NewRequest {
            // Numbered on arrival.
            id: RequestId(0),
            class: ClassId(class),
            plan: PlanId(plan),
            customer,
            deadline,
            units,
            gateways,
            is_retry: head.headers.get(RETRY_HEADER).is_some_and(|mark| mark == "1"),
            body_in_flight: flows,
        };
        Ok((request, order, open))
    }

    /// `units=2,spread=3,first=1`: units, and the gateways of the customer's set, which are among those there are.
    fn metering(&self, text: &str) -> Option<(f64, u32)> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value = value.trim();
            let twice = match name.trim() {
                "units" => units.replace(value.parse::<f64>().ok()?).is_some(),
                "spread" => spread.replace(value.parse::<u32>().ok()?).is_some(),
                "first" => first.replace(value.parse::<u32>().ok()?).is_some(),
                _ => false,
            };
            if twice {
                return None;
            }
        }
        let settings = &self.site.settings;
        let most = if settings.max_units > 0.0 { settings.max_units } else { f64::MAX };
        first.filter(|&first| first < settings.gateways)?;
        Some((
            units.filter(|units| (1.0..=most).contains(units))?,
            spread.filter(|spread| (1..=settings.gateways).contains(spread))?,
        ))
    }
}

fn payload_too_large() -> Rejected {
    (StatusCode::PAYLOAD_TOO_LARGE, format!("more than {MAX_BODY} bytes"))
}

fn body_timeout() -> Rejected {
    (StatusCode::REQUEST_TIMEOUT, "the body did not come in time".into())
}

/// Reads a body whole, or the beginning of a long one. A client that has vanished says nothing.
async fn begin(mut body: Incoming, account: &RequestBudget) -> Result<Sendable, Rejected> {
    let length = body.size_hint().exact();
    let mut pace = TransferRate::waiting();
    let mut come = Vec::new();
    while !body.is_end_stream() {
        let pause = pace.due().map_or(Duration::ZERO, |due| due.saturating_duration_since(Instant::now()));
        match timeout(account.limit_wait(pause), more(&mut body)).await {
            Ok(Ok(Some(data))) => {
                come.extend_from_slice(&data);
                pace.brought_some(data.len());
            }
            Ok(Ok(None)) => break,
            Ok(Err(_)) => return Err(bad("a body that is cut off")),
            Err(_) => return Err(body_timeout()),
        }
        if come.len() > MAX_BUFFERED_BYTES {
            return Ok(Sendable::Flow(StreamedBody::new(come.into(), body, length)));
        }
    }
    Ok(Sendable::Whole(come.into()))
}

/// Waits until a body that is passed on is broken off; for good if it is not.
async fn broken_off(flow: &StreamedBody) -> Rejected {
    loop {
        match (flow.passed(), flow.due()) {
            (Passed::Broken, _) => return bad("a body that is cut off"),
            (Passed::TooLong, _) => return payload_too_large(),
            (Passed::All, _) | (_, None) => return std::future::pending().await,
            (_, Some(due)) if due > Instant::now() => flow.changed(due).await,
            _ if flow.wants_more() => return body_timeout(),
            _ => return (StatusCode::GATEWAY_TIMEOUT, "the body was not taken in time".into()),
        }
    }
}

/// The id of an open request, given back when the request is over.
struct OpenIdGuard<'a> {
    ids: &'a RefCell<HashSet<u64>>,
    id: u64,
}

impl Drop for OpenIdGuard<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// An answer owed to a client; dropped with its connection when the client hangs up.
struct DisconnectGuard<'a> {
    engine: &'a Engine,
    id: Option<RequestId>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.engine.on_client_disconnected(id);
        }
    }
}

/// A header's one value: of two, another reader might take the other.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, Rejected> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().ok_or_else(|| bad(format!("{name} is missing")))?;
    if values.next().is_some() {
        return Err(bad(format!("{name} comes more than once")));
    }
    value.to_str().map(str::trim).ok().filter(|text| !text.is_empty()).ok_or_else(|| unreadable(name))
}

fn unreadable(name: &HeaderName) -> Rejected {
    bad(format!("{name} is unreadable"))
}

fn digits(text: &str) -> Option<u64> {
    let digits = text.len() == MAX_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

fn seconds(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.parse().ok()?).ok().filter(|wait| !wait.is_zero())
}

fn response_for(answer: Answer) -> Response<ResponseBody> {
    match answer {
        Answer::Served(served) => {
            let mut response = Response::new(served.body);
            if let Some(content_type) = served.content_type {
                response.headers_mut().insert(CONTENT_TYPE, content_type);
            }
            response
        }
        Answer::Refused { retry_after } => {
            let mut response =
                plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused, trying again is harmless");
            if let Ok(wait) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64())) {
                response.headers_mut().insert(RETRY_AFTER, wait);
            }
            response
        }
        Answer::Failed => plain_response(StatusCode::BAD_GATEWAY, "failed, it may have run"),
        Answer::Overdue => plain_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time, it may have run"),
        Answer::Broken => {
            plain_response(StatusCode::INTERNAL_SERVER_ERROR, "the gateway failed, it may have run")
        }
    }
}

fn plain_response(status: StatusCode, line: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(Bytes::from(format!("{line}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

/// An answer outside hyper, to what it could not read or that did not come.
pub fn raw_rejection(status: StatusCode, why: &str) -> Vec<u8> {
    let length = why.len() + 1;
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{why}\n"
    )
    .into_bytes()
}
