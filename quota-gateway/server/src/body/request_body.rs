//! The body of a client's request, buffered or streamed to one server.

use super::transfer_rate::TransferRate;
use super::MAX_BODY_BYTES;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout_at;

/// A server that does not read more of a body for this long is considered lost.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(5);

/// How much of a streamed body has been delivered to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Nothing was delivered.
    NotStarted,
    /// A part was delivered.
    Partial,
    /// All of it was passed to the operating system for the server.
    Complete,
    /// The client did not send all of it.
    Truncated,
    /// It is longer than [`MAX_BODY_BYTES`].
    TooLong,
}

/// The start of a body, which was read before the body turned out to be long, and the rest, still to be read.
struct Unsent {
    start: Bytes,
    rest: Incoming,
}

/// A request body that is streamed, once, to the server of one attempt.
pub struct StreamedBody {
    /// `None` while an attempt owns it, and after one has sent any part.
    unsent: RefCell<Option<Unsent>>,
    length: Option<u64>,
    delivery: Cell<Delivery>,
    rate: Cell<TransferRate>,
    last_progress_at: Cell<Instant>,
    changed: Notify,
}

impl StreamedBody {
    /// Creates a body from the bytes already read and the rest. `length` is its length if the request's head
    /// states it.
    pub fn new(start: Bytes, rest: Incoming, length: Option<u64>) -> Rc<StreamedBody> {
        Rc::new(StreamedBody {
            unsent: RefCell::new(Some(Unsent { start, rest })),
            length,
            delivery: Cell::new(Delivery::NotStarted),
            rate: Cell::new(TransferRate::idle()),
            last_progress_at: Cell::new(Instant::now()),
            changed: Notify::new(),
        })
    }

    /// Returns how much has been delivered.
    pub fn delivery(&self) -> Delivery {
        self.delivery.get()
    }

    /// Returns whether an attempt owns the body or has sent a part of it, so that no other can send it.
    pub fn is_consumed(&self) -> bool {
        self.unsent.borrow().is_none()
    }

    /// Waits until the server has received all of it; forever if that never happens.
    pub async fn delivered(&self) {
        while self.delivery.get() != Delivery::Complete {
            self.changed.notified().await;
        }
    }

    /// Waits until the delivery changes, or until `deadline`.
    pub async fn changed(&self, deadline: Instant) {
        // The caller checks the state again in either case.
        let _ = timeout_at(deadline.into(), self.changed.notified()).await;
    }

    /// The instant at which the client is too slow, or the server if the client is not being waited for;
    /// `None` once the delivery is complete.
    pub fn deadline(&self) -> Option<Instant> {
        let is_in_progress = self.delivery.get() != Delivery::Complete;
        is_in_progress
            .then(|| self.rate.get().deadline().unwrap_or(self.last_progress_at.get() + SLOW_READER_TIMEOUT))
    }

    /// Returns whether the client is being waited for, and not the server.
    pub fn awaits_client(&self) -> bool {
        self.rate.get().deadline().is_some()
    }

    fn set_delivery(&self, delivery: Delivery) {
        self.delivery.set(delivery);
        self.changed.notify_waiters();
    }
}

/// The body of a client's request.
pub enum RequestBody {
    /// The body is in memory. Any number of attempts can send it.
    Buffered(Bytes),
    /// The body is streamed. One attempt can send it.
    Streamed(Rc<StreamedBody>),
}

impl RequestBody {
    /// Returns the streamed body, or `None` if the body is buffered.
    pub fn as_streamed(&self) -> Option<&Rc<StreamedBody>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(body) => Some(body),
        }
    }
}

/// A request's body as one attempt sends it.
pub enum OutgoingBody {
    /// A copy of a buffered body.
    Buffered(Full<Bytes>),
    /// The streamed body itself.
    Streamed(OutgoingStream),
}

/// A streamed body that an attempt owns.
pub struct OutgoingStream {
    body: Rc<StreamedBody>,
    unsent: Unsent,
    sent_bytes: usize,
}

impl OutgoingBody {
    /// Takes the body for an attempt; returns `None` if another attempt has taken it.
    pub fn take(body: &RequestBody) -> Option<OutgoingBody> {
        match body {
            RequestBody::Buffered(bytes) => Some(OutgoingBody::Buffered(Full::new(bytes.clone()))),
            RequestBody::Streamed(body) => {
                let unsent = body.unsent.borrow_mut().take()?;
                Some(OutgoingBody::Streamed(OutgoingStream { body: body.clone(), unsent, sent_bytes: 0 }))
            }
        }
    }

    /// Puts back a body of which nothing was sent, so that another attempt can take it.
    pub fn put_back(self) {
        if let OutgoingBody::Streamed(OutgoingStream { body, unsent, .. }) = self {
            body.unsent.replace(Some(unsent));
        }
    }
}

impl Default for OutgoingBody {
    fn default() -> OutgoingBody {
        OutgoingBody::Buffered(Full::default())
    }
}

impl OutgoingStream {
    /// Polls for the next bytes from the client; `None` at the end.
    fn poll_client(&mut self, cx: &mut Context<'_>) -> Poll<Option<hyper::Result<Bytes>>> {
        loop {
            let polled = Pin::new(&mut self.unsent.rest).poll_frame(cx);
            if polled.is_pending() {
                let mut rate = self.body.rate.get();
                rate.on_wait();
                self.body.rate.set(rate);
            }
            match ready!(polled) {
                // Trailers are dropped, because no reader uses them.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => return Poll::Ready(Some(Ok(data))),
                    Err(_) => continue,
                },
                Some(Err(e)) => return Poll::Ready(Some(Err(e))),
                None => return Poll::Ready(None),
            }
        }
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let data = if self.body.delivery() == Delivery::NotStarted {
            self.body.delivery.set(Delivery::Partial);
            std::mem::take(&mut self.unsent.start)
        } else {
            match ready!(self.poll_client(cx)) {
                Some(Ok(data)) => data,
                Some(Err(e)) => {
                    self.body.set_delivery(Delivery::Truncated);
                    return Poll::Ready(Some(Err(io::Error::other(e))));
                }
                None => {
                    self.body.set_delivery(Delivery::Complete);
                    return Poll::Ready(None);
                }
            }
        };
        Poll::Ready(Some(self.on_data(data)))
    }

    /// Updates the state for bytes that are about to be sent.
    fn on_data(&mut self, data: Bytes) -> io::Result<Bytes> {
        let mut rate = self.body.rate.get();
        rate.on_received(data.len());
        self.body.rate.set(rate);
        self.body.last_progress_at.set(Instant::now());
        self.sent_bytes += data.len();
        if self.sent_bytes > MAX_BODY_BYTES {
            self.body.set_delivery(Delivery::TooLong);
            return Err(io::ErrorKind::InvalidData.into());
        }
        if self.body.length.is_some_and(|length| self.sent_bytes as u64 >= length) {
            // hyper does not poll for the end of a body whose length it knows.
            self.body.set_delivery(Delivery::Complete);
        }
        Ok(data)
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            OutgoingBody::Buffered(bytes) => Pin::new(bytes).poll_frame(cx).map_err(|never| match never {}),
            OutgoingBody::Streamed(stream) => stream.poll_data(cx).map_ok(Frame::data),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, OutgoingBody::Buffered(bytes) if bytes.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutgoingBody::Buffered(bytes) => bytes.size_hint(),
            OutgoingBody::Streamed(stream) => {
                stream.body.length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
