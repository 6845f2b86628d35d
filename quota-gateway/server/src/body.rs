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
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Whoever sends a body has this long before its first byte and between two ...
const MAX_GAP: Duration = Duration::from_millis(2500);
/// ... and brings this many bytes a second at least, but for that time. Guards against bodies that drip.
const MIN_BYTES_PER_SECOND: f64 = 24.0 * 1024.0;

/// A server that takes nothing more of a body has lost it after this time.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a peer has been waited for, and what it has brought: time-outs ask for progress, as a long body takes
/// long.
#[derive(Clone, Copy)]
pub struct TransferRate {
    waited: Duration,
    since: Option<Instant>,
    brought: usize,
}

impl TransferRate {
    /// One that is being waited for from now on.
    pub fn waiting() -> TransferRate {
        TransferRate { waited: Duration::ZERO, since: Some(Instant::now()), brought: 0 }
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
        let left = Duration::from_secs_f64(self.brought as f64 / MIN_BYTES_PER_SECOND) + MAX_GAP;
        Some(since + MAX_GAP.min(left.saturating_sub(self.waited)))
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
pub struct StreamedBody {
    body: RefCell<Option<(Bytes, Incoming)>>,
    length: Option<u64>,
    passed: Cell<Passed>,
    pace: Cell<TransferRate>,
    /// When it last got on.
    last_progress_at: Cell<Instant>,
    changed: Notify,
}

impl StreamedBody {
    pub fn new(begun: Bytes, rest: Incoming, length: Option<u64>) -> Rc<StreamedBody> {
        Rc::new(StreamedBody {
            body: RefCell::new(Some((begun, rest))),
            length,
            passed: Cell::new(Passed::Nothing),
            pace: Cell::new(TransferRate { since: None, ..TransferRate::waiting() }),
            last_progress_at: Cell::new(Instant::now()),
            changed: Notify::new(),
        })
    }

    pub fn passed(&self) -> Passed {
        self.passed.get()
    }

    /// Whether an attempt has taken it, so that no other can send it.
    pub fn is_consumed(&self) -> bool {
        self.body.borrow().is_none()
    }

    /// Waits until the server has all of it; for good if that does not come to be.
    pub async fn all(&self) {
        while self.passed.get() != Passed::All {
            self.changed.notified().await;
        }
    }

    /// Waits until something has become of it, or until then.
    pub async fn changed(&self, until: Instant) {
        drop(timeout_at(until.into(), self.changed.notified()).await);
    }

    /// When the client has been waited for too long, or the server, until that has it all.
    pub fn due(&self) -> Option<Instant> {
        let passing = self.passed.get() != Passed::All;
        passing.then(|| self.pace.get().due().unwrap_or(self.last_progress_at.get() + SLOW_READER_TIMEOUT))
    }

    /// Whether it is the client that is waited for.
    pub fn wants_more(&self) -> bool {
        self.pace.get().due().is_some()
    }

    fn change(&self, passed: Passed) {
        self.passed.set(passed);
        self.changed.notify_waiters();
    }
}

/// A request's body, as an attempt sends it.
pub enum Outgoing {
    Whole(Full<Bytes>),
    Flow { flow: Rc<StreamedBody>, begun: Bytes, rest: Incoming, sent: usize },
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
        flow.last_progress_at.set(Instant::now());
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
    Flow(Rc<StreamedBody>),
}

impl Sendable {
    pub fn flow(&self) -> Option<&Rc<StreamedBody>> {
        match self {
            Sendable::Whole(_) => None,
            Sendable::Flow(flow) => Some(flow),
        }
    }
}

/// A piece of an answer. Without the end the answer is cut off.
pub enum Chunk {
    Data(Bytes),
    End,
}

/// Pieces of an answer that wait to be taken.
const CHUNKS_BUFFERED: usize = 2;

/// An answer's body.
pub enum ResponseBody {
    Whole(Full<Bytes>),
    Flow { pieces: mpsc::Receiver<Chunk>, length: Option<u64> },
}

impl ResponseBody {
    /// A body that is passed on, and where its pieces go.
    pub fn flow(length: Option<u64>) -> (mpsc::Sender<Chunk>, ResponseBody) {
        let (sender, pieces) = mpsc::channel(CHUNKS_BUFFERED);
        (sender, ResponseBody::Flow { pieces, length })
    }
}

impl From<Bytes> for ResponseBody {
    fn from(whole: Bytes) -> ResponseBody {
        ResponseBody::Whole(Full::new(whole))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            ResponseBody::Whole(whole) => Pin::new(whole).poll_frame(cx).map_err(|never| match never {}),
            ResponseBody::Flow { pieces, .. } => Poll::Ready(match ready!(pieces.poll_recv(cx)) {
                Some(Chunk::Data(data)) => Some(Ok(Frame::data(data))),
                Some(Chunk::End) => None,
                // The connection goes with it, which is how the client knows.
                None => Some(Err(io::ErrorKind::UnexpectedEof.into())),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole(whole) if whole.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(whole) => whole.size_hint(),
            ResponseBody::Flow { length, .. } => length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

#[cfg(test)]
mod tests;
