//! The state of a client's connection, and its timeouts.
//!
//! Every phase of a connection has a time limit, so that a client that sends nothing, or only a part of a
//! request, gets an error or a close within three seconds.

use crate::body::response_body::ResponseBody;
use crate::request_budget::RequestBudget;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use marblecroft_deadline::STALL_TIMEOUT;
use marblecroft_transport::framing::HeadScanner;
use marblecroft_transport::socket::SocketObserver;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The longest time for a head to arrive. For the first head it starts when the connection is accepted.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// The longest time between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The longest time that a connection with a requested close waits for an incomplete head.
const DRAIN_HEAD_TIMEOUT: Duration = Duration::from_millis(250);

/// The phase of a client's connection.
#[derive(Clone, Copy)]
pub enum Phase {
    /// No request has been in flight since this instant.
    Idle(Instant),
    /// A request is in flight.
    InFlight,
    /// A response is being written. The value is the instant at which the client stopped reading, or `None`
    /// while it reads.
    Writing(Option<Instant>),
}

/// A client's connection.
pub struct ClientConnection {
    /// The current phase.
    pub phase: Cell<Phase>,
    /// Whether the client has sent at least one complete head.
    pub has_sent_request: Cell<bool>,
    /// Whether hyper has not read the entire response body yet. The bytes that the operating system has
    /// accepted are then only a part of the response.
    pub is_body_pending: Cell<bool>,
    /// Whether a request was rejected, possibly with a part of it unread.
    pub is_rejected: Cell<bool>,
    /// From this instant on the connection is closed when it is idle. It is closed after its next response in
    /// any case.
    close_requested_at: Cell<Option<Instant>>,
    /// Notified when `close_requested_at` has changed.
    pub close_changed: Notify,
    /// Tracks the framing of the bytes that the client sends.
    pub heads: RefCell<HeadScanner>,
    /// The instant at which the first bytes of an incomplete head arrived.
    head_since: Cell<Option<Instant>>,
    /// How long the last complete head took to arrive.
    pub head_duration: Cell<Duration>,
    /// The budget of the request that is in flight, or whose response is being written.
    pub budget: RefCell<Option<Rc<RequestBudget>>>,
}

impl ClientConnection {
    /// Creates the state of a connection that was just accepted.
    pub fn new() -> Rc<ClientConnection> {
        Rc::new(ClientConnection {
            phase: Cell::new(Phase::Idle(Instant::now())),
            has_sent_request: Cell::new(false),
            is_body_pending: Cell::new(false),
            is_rejected: Cell::new(false),
            close_requested_at: Cell::new(None),
            close_changed: Notify::new(),
            heads: RefCell::default(),
            head_since: Cell::new(None),
            head_duration: Cell::default(),
            budget: RefCell::default(),
        })
    }

    /// Requests that the connection is closed when it is idle at or after `at`, and after its next response
    /// in any case.
    pub fn request_close(&self, at: Instant) {
        let earliest = self.close_requested_at.get().map_or(at, |requested| requested.min(at));
        self.close_requested_at.set(Some(earliest));
        self.close_changed.notify_one();
    }

    /// Withdraws the close request.
    pub fn cancel_close(&self) {
        self.close_requested_at.set(None);
        self.close_changed.notify_one();
    }

    /// Returns whether a close was requested.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested_at.get().is_some()
    }

    /// The instant since which no request has been in flight; `None` while one is.
    pub fn idle_since(&self) -> Option<Instant> {
        match self.phase.get() {
            Phase::Idle(since) => Some(since),
            Phase::InFlight | Phase::Writing(_) => None,
        }
    }

    /// Returns whether a part of a head has arrived.
    pub fn is_in_head(&self) -> bool {
        self.head_since.get().is_some()
    }

    /// The instant at which the connection times out in its current state; `None` while the engine's response
    /// is awaited.
    pub fn due(&self) -> Option<Instant> {
        let close_requested_at = self.close_requested_at.get();
        let (limit, close_at) = match (self.phase.get(), self.head_since.get()) {
            (Phase::InFlight, _) => return None,
            (Phase::Writing(stalled_since), _) => return stalled_since.map(|since| since + STALL_TIMEOUT),
            (Phase::Idle(since), Some(head_since)) => {
                let begun = if self.has_sent_request.get() { head_since } else { since };
                (begun + HEAD_TIMEOUT, close_requested_at.map(|requested| requested + DRAIN_HEAD_TIMEOUT))
            }
            (Phase::Idle(since), None) => {
                let timeout = if self.has_sent_request.get() { IDLE_TIMEOUT } else { HEAD_TIMEOUT };
                (since + timeout, close_requested_at)
            }
        };
        close_at.into_iter().chain([limit]).min()
    }
}

impl SocketObserver for ClientConnection {
    fn on_received(&self, bytes: &[u8]) {
        let mut heads = self.heads.borrow_mut();
        heads.scan(bytes);
        if !heads.is_in_head() {
            let since = self.head_since.take();
            self.head_duration.set(since.map_or(Duration::ZERO, |since| since.elapsed()));
        } else if self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
        }
    }

    fn permits_output(&self) -> bool {
        self.idle_since().is_none()
    }

    fn on_blocked(&self, blocked: bool) {
        if let Phase::Writing(since) = self.phase.get() {
            self.phase.set(Phase::Writing(blocked.then(|| since.unwrap_or_else(Instant::now))));
        }
    }

    fn on_flushed(&self) {
        if matches!(self.phase.get(), Phase::Writing(_)) && !self.is_body_pending.get() {
            self.phase.set(Phase::Idle(Instant::now()));
            if let Some(budget) = self.budget.take() {
                budget.on_flushed();
            }
        }
    }
}

/// A response's body. hyper drops it when it has read all of it.
pub struct TrackedBody {
    body: ResponseBody,
    client: Rc<ClientConnection>,
}

impl TrackedBody {
    /// Tracks the body of a response on a client's connection.
    pub fn new(body: ResponseBody, client: Rc<ClientConnection>) -> TrackedBody {
        client.is_body_pending.set(true);
        TrackedBody { body, client }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
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
        self.client.is_body_pending.set(false);
    }
}
