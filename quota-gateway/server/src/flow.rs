//! Bodies that are too long to be held: passed on as they come, no faster than they are taken.

use crate::upstream::MAX_BODY;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, Notify};
use tokio::time::timeout_at;

/// A body that is no longer than this is held whole: a request can then be sent again, and an answer counts only when
/// all of it is here.
pub const SHORT: usize = 64 << 10;
/// Whoever sends a body has this long before its first byte and between two ...
const PAUSE: Duration = Duration::from_millis(2500);
/// ... and brings this many bytes a second at least, but for that time. Guards against bodies that drip.
const PACE: f64 = 24.0 * 1024.0;

/// A server that takes nothing more of a body has lost it after this time.
const TAKE_MOST: Duration = Duration::from_secs(5);

/// How long a peer has been waited for, and what it has brought: time-outs ask for progress, as a long body takes
/// long.
#[derive(Clone, Copy)]
pub struct Pace {
    waited: Duration,
    since: Option<Instant>,
    brought: usize,
}

impl Pace {
    /// One that is being waited for from now on.
    pub fn waiting() -> Pace {
        Pace { waited: Duration::ZERO, since: Some(Instant::now()), brought: 0 }
    }

    fn waits(&mut self) {
        self.since.get_or_insert_with(Instant::now);
    }

    pub fn brought(&mut self, bytes: usize) {
        self.waited += self.since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.brought += bytes;
    }

    /// The same, and more is waited for.
    pub fn brought_some(&mut self, bytes: usize) {
        self.brought(bytes);
        self.waits();
    }

    /// When it has been waited for too long, as things stand; `None` while it is not waited for.
    pub fn due(&self) -> Option<Instant> {
        let since = self.since?;
        let left = Duration::from_secs_f64(self.brought as f64 / PACE) + PAUSE;
        Some(since + PAUSE.min(left.saturating_sub(self.waited)))
    }
}

/// What has become of a body on its way to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    /// All of it is still here.
    Nothing,
    Some,
    /// The server has it, or the system for it.
    All,
    /// The client broke it off, or made it too long.
    Broken,
    TooLong,
}

/// A request's body that is passed on, once: what has come of it, and the rest.
pub struct Flow {
    body: RefCell<Option<(Bytes, Incoming)>>,
    length: Option<u64>,
    passed: Cell<Passed>,
    pace: Cell<Pace>,
    /// When it last got on.
    moved: Cell<Instant>,
    news: Notify,
}

impl Flow {
    pub fn new(begun: Bytes, rest: Incoming, length: Option<u64>) -> Rc<Flow> {
        Rc::new(Flow {
            body: RefCell::new(Some((begun, rest))),
            length,
            passed: Cell::new(Passed::Nothing),
            pace: Cell::new(Pace { since: None, ..Pace::waiting() }),
            moved: Cell::new(Instant::now()),
            news: Notify::new(),
        })
    }

    pub fn passed(&self) -> Passed {
        self.passed.get()
    }

    /// Whether an attempt has taken it, so that no other can send it.
    pub fn spent(&self) -> bool {
        self.body.borrow().is_none()
    }

    /// Waits until the server has all of it; for good if that does not come to be.
    pub async fn all(&self) {
        while self.passed.get() != Passed::All {
            self.news.notified().await;
        }
    }

    /// Waits until something has become of it, or until then.
    pub async fn changed(&self, until: Instant) {
        drop(timeout_at(until.into(), self.news.notified()).await);
    }

    /// When the client has been waited for too long, or the server, until that has it all.
    pub fn due(&self) -> Option<Instant> {
        let passing = self.passed.get() != Passed::All;
        passing.then(|| self.pace.get().due().unwrap_or(self.moved.get() + TAKE_MOST))
    }

    /// Whether it is the client that is waited for.
    pub fn wants_more(&self) -> bool {
        self.pace.get().due().is_some()
    }

    fn change(&self, passed: Passed) {
        self.passed.set(passed);
        self.news.notify_waiters();
    }
}

/// A request's body, as an attempt sends it.
pub enum Outgoing {
    Whole(Full<Bytes>),
    Flow { flow: Rc<Flow>, begun: Bytes, rest: Incoming, sent: usize },
}

impl Outgoing {
    /// `None` when it has been passed on already, be it in part.
    pub fn of(body: &Sendable) -> Option<Outgoing> {
        match body {
            Sendable::Whole(whole) => Some(Outgoing::Whole(Full::new(whole.clone()))),
            Sendable::Flow(flow) => {
                let (begun, rest) = flow.body.borrow_mut().take()?;
                Some(Outgoing::Flow { flow: flow.clone(), begun, rest, sent: 0 })
            }
        }
    }

    /// Gives back what nothing was sent of.
    pub fn put_back(self) {
        if let Outgoing::Flow { flow, begun, rest, .. } = self {
            flow.body.replace(Some((begun, rest)));
        }
    }
}

impl Default for Outgoing {
    fn default() -> Outgoing {
        Outgoing::Whole(Full::default())
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let (flow, begun, rest, sent) = match self.get_mut() {
            Outgoing::Whole(whole) => return Pin::new(whole).poll_frame(cx).map_err(|never| match never {}),
            Outgoing::Flow { flow, begun, rest, sent } => (flow, begun, rest, sent),
        };
        let mut pace = flow.pace.get();
        let data = if flow.passed() == Passed::Nothing {
            flow.passed.set(Passed::Some);
            std::mem::take(begun)
        } else {
            loop {
                let polled = Pin::new(&mut *rest).poll_frame(cx);
                if polled.is_pending() {
                    pace.waits();
                    flow.pace.set(pace);
                }
                match ready!(polled) {
                    // Trailers are left: nobody asks for them.
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(data) => break data,
                        Err(_) => continue,
                    },
                    Some(Err(e)) => {
                        flow.change(Passed::Broken);
                        return Poll::Ready(Some(Err(io::Error::other(e))));
                    }
                    None => {
                        flow.change(Passed::All);
                        return Poll::Ready(None);
                    }
                }
            }
        };
        pace.brought(data.len());
        flow.pace.set(pace);
        flow.moved.set(Instant::now());
        *sent += data.len();
        if *sent > MAX_BODY {
            flow.change(Passed::TooLong);
            return Poll::Ready(Some(Err(io::ErrorKind::InvalidData.into())));
        }
        if flow.length.is_some_and(|length| *sent as u64 >= length) {
            // hyper does not ask for the end of a body whose length it knows.
            flow.change(Passed::All);
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Outgoing::Whole(whole) if whole.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outgoing::Whole(whole) => whole.size_hint(),
            Outgoing::Flow { flow, .. } => flow.length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// A request's body, for as many attempts as it lasts.
pub enum Sendable {
    Whole(Bytes),
    Flow(Rc<Flow>),
}

impl Sendable {
    pub fn flow(&self) -> Option<&Rc<Flow>> {
        match self {
            Sendable::Whole(_) => None,
            Sendable::Flow(flow) => Some(flow),
        }
    }
}

/// A piece of an answer. Without the end the answer is cut off.
pub enum Piece {
    Data(Bytes),
    End,
}

/// Pieces of an answer that wait to be taken.
const WAITING: usize = 2;

/// An answer's body.
pub enum Words {
    Whole(Full<Bytes>),
    Flow { pieces: mpsc::Receiver<Piece>, length: Option<u64> },
}

impl Words {
    /// A body that is passed on, and where its pieces go.
    pub fn flow(length: Option<u64>) -> (mpsc::Sender<Piece>, Words) {
        let (sender, pieces) = mpsc::channel(WAITING);
        (sender, Words::Flow { pieces, length })
    }
}

impl From<Bytes> for Words {
    fn from(whole: Bytes) -> Words {
        Words::Whole(Full::new(whole))
    }
}

impl Body for Words {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Words::Whole(whole) => Pin::new(whole).poll_frame(cx).map_err(|never| match never {}),
            Words::Flow { pieces, .. } => Poll::Ready(match ready!(pieces.poll_recv(cx)) {
                Some(Piece::Data(data)) => Some(Ok(Frame::data(data))),
                Some(Piece::End) => None,
                // The connection goes with it, which is how the client knows.
                None => Some(Err(io::ErrorKind::UnexpectedEof.into())),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Words::Whole(whole) if whole.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Words::Whole(whole) => whole.size_hint(),
            Words::Flow { length, .. } => length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

#[cfg(test)]
mod tests;
