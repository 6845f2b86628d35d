//! Sockets below hyper: hyper reads and writes them, their owner looks at them and has the last word.

use crate::system::{time_since_last_received, unacknowledged_bytes};
use futures_util::FutureExt;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Most that is taken from the system at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Most that is read of a connection beyond what hyper has asked for: a whole head.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// With so much read ahead, whether the peer has gone is looked at again after this time. Nothing is to be sent on
/// for a client that left more than 100 ms ago; hurts by a call to the system each time, for floods alone.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// A connection that ends with input unread is read on for this long and this far: a whole long body. Guards against
/// the reset that closing it at once would send: it takes away the answer that the peer has not read yet.
const LINGER: (Duration, usize) = (Duration::from_secs(1), 32 << 20);

/// Who looks on while hyper uses a socket.
pub trait SocketObserver {
    /// Bytes have come.
    fn on_received(&self, _: &[u8]) {}
    /// Whether what hyper writes goes out. hyper answers on its own what it cannot read, with no word of why.
    fn permits_output(&self) -> bool {
        true
    }
    /// The system takes no more for now, as the peer reads nothing; or it takes some again.
    fn on_blocked(&self, _: bool) {}
    /// All that hyper had to write is with the system.
    fn on_flushed(&self) {}
}

impl SocketObserver for () {}

impl<W: SocketObserver> SocketObserver for Rc<W> {
    fn on_received(&self, bytes: &[u8]) {
        (**self).on_received(bytes);
    }

    fn permits_output(&self) -> bool {
        (**self).permits_output()
    }

    fn on_blocked(&self, blocked: bool) {
        (**self).on_blocked(blocked);
    }

    fn on_flushed(&self) {
        (**self).on_flushed();
    }
}

pub struct Socket<W> {
    stream: TcpStream,
    read_ahead: RefCell<ReadAhead>,
    pub observer: W,
}

/// What was read before hyper asked for it.
#[derive(Default)]
struct ReadAhead {
    bytes: VecDeque<u8>,
    /// The peer sends nothing more.
    is_closed: bool,
}

impl<W: SocketObserver> Socket<W> {
    pub fn new(stream: TcpStream, watch: W) -> io::Result<Rc<Socket<W>>> {
        stream.set_nodelay(true)?;
        Ok(Rc::new(Socket { stream, read_ahead: RefCell::default(), observer: watch }))
    }

    /// Whether nothing has come since, not even an end. Asks the system: what the runtime holds for true may be
    /// older than bytes that are there.
    pub fn has_no_input(&self) -> bool {
        let ahead = self.read_ahead.borrow();
        if ahead.is_closed || !ahead.bytes.is_empty() {
            return false;
        }
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the peer has gone while an answer is owed to it. Where bytes of a next request lie before the
    /// end, hyper asks for nothing more until it has answered, so they are read ahead; behind more than [`AHEAD`] the
    /// system is asked now and then whether the end has come. To be polled behind hyper, in the same task.
    pub async fn peer_closed(&self, owed: impl Fn() -> bool) {
        while !self.read_ahead(&owed).await {
            sleep(PEER_CHECK_INTERVAL).await;
            if owed() && self.is_read_closed() {
                return;
            }
        }
    }

    /// Whether the end of what the peer sends is here, be it behind bytes that nobody has read.
    fn is_read_closed(&self) -> bool {
        let ready = self.stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.map_or(true, |ready| ready.is_read_closed()))
    }

    /// Reads ahead while an answer is owed; whether the peer has gone, or there is no more room.
    async fn read_ahead(&self, owed: impl Fn() -> bool) -> bool {
        poll_fn(|cx| loop {
            let (room, ended) = {
                let ahead = self.read_ahead.borrow();
                (MAX_READ_AHEAD_BYTES.saturating_sub(ahead.bytes.len()), ahead.is_closed)
            };
            if !owed() {
                return Poll::Pending;
            }
            if ended || room == 0 {
                return Poll::Ready(ended);
            }
            if ready!(self.stream.poll_read_ready(cx)).is_err() {
                return Poll::Ready(true);
            }
            let mut piece = [0; CHUNK_BYTES];
            match self.stream.try_read(&mut piece[..room.min(CHUNK_BYTES)]) {
                Ok(0) => self.read_ahead.borrow_mut().is_closed = true,
                Ok(n) => {
                    self.read_ahead.borrow_mut().bytes.extend(&piece[..n]);
                    // hyper may be waiting for them.
                    cx.waker().wake_by_ref();
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Poll::Ready(true),
            }
        })
        .await
    }

    /// How long ago its last bytes came, where the system tells.
    pub fn time_since_last_received(&self) -> Option<Duration> {
        time_since_last_received(&self.stream).ok()
    }

    /// Says a last thing, as far as it can be said at once, and that nothing more comes.
    pub fn shutdown(&self, word: &[u8]) {
        if !word.is_empty() {
            drop(self.stream.try_write(word));
        }
        drop(SockRef::from(&self.stream).shutdown(Shutdown::Write));
    }

    /// Whether closing it now takes away what the peer has not had yet: the system resets a connection that is closed over
    /// bytes that nobody read.
    pub fn would_reset_on_close(&self) -> bool {
        !self.has_no_input() && unacknowledged_bytes(&self.stream).map_or(true, |bytes| bytes > 0)
    }

    /// Reads on until the peer has closed too, within bounds.
    pub async fn linger(&self) {
        let drain = async {
            let (mut left, mut piece) = (LINGER.1, [0; CHUNK_BYTES]);
            while left > 0 && self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut piece) {
                    Ok(0) => return,
                    Ok(n) => left = left.saturating_sub(n),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        drop(timeout(LINGER.0, drain).await);
    }
}

/// hyper's side of a socket.
pub struct HyperIo<W>(pub Rc<Socket<W>>);

impl<W: SocketObserver> Read for HyperIo<W> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, mut buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let mut piece = [0; CHUNK_BYTES];
        let room = buf.remaining().min(CHUNK_BYTES);
        let mut ahead = self.0.read_ahead.borrow_mut();
        let held = ahead.bytes.len().min(room);
        if held > 0 || ahead.is_closed {
            piece.iter_mut().zip(ahead.bytes.drain(..held)).for_each(|(to, byte)| *to = byte);
            drop(ahead);
            self.0.observer.on_received(&piece[..held]);
            buf.put_slice(&piece[..held]);
            return Poll::Ready(Ok(()));
        }
        drop(ahead);
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(&mut piece[..room]) {
                Ok(n) => {
                    self.0.observer.on_received(&piece[..n]);
                    buf.put_slice(&piece[..n]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl<W: SocketObserver> HyperIo<W> {
    fn poll_write_with(
        &self,
        cx: &mut Context,
        all: usize,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        if !self.0.observer.permits_output() {
            return Poll::Ready(Ok(all));
        }
        loop {
            let writable = self.0.stream.poll_write_ready(cx);
            self.0.observer.on_blocked(writable.is_pending());
            ready!(writable)?;
            match write(&self.0.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl<W: SocketObserver> Write for HyperIo<W> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, buf.len(), |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, bufs.iter().map(|b| b.len()).sum(), |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.0.observer.on_flushed();
        Poll::Ready(Ok(()))
    }

    /// The owner ends it, who may have something left to say.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
