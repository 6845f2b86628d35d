//! A socket that hyper reads and writes, and that its owner can observe and close.
//!
//! hyper uses the socket through [`HyperIo`]. The owner observes the data ([`SocketObserver`]) and detects
//! that the peer has closed the connection while a response is still being produced
//! ([`Socket::peer_closed`]). To close the connection, it can send a last reply ([`Socket::shutdown`]) and
//! read the remaining input, so that the kernel does not reset the connection before the peer has read the
//! reply ([`Socket::linger`]).

mod hyper_io;
mod observer;

pub use hyper_io::HyperIo;
pub use observer::SocketObserver;

use crate::system::{time_since_last_received, unacknowledged_bytes};
use futures_util::FutureExt;
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::rc::Rc;
use std::task::{ready, Poll};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Maximum number of bytes that one system call reads.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of bytes that are read ahead of hyper's reads. Enough for a complete head.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// Interval at which a socket whose read-ahead buffer is full is checked for whether the peer has closed it.
/// A request must not be forwarded if its client disconnected more than 100 ms ago. Each check costs a system
/// call, but the buffer is full only if a client floods the connection.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum time for which input of a closing connection is read.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read from a closing connection. Enough for a long body.
const MAX_LINGER_BYTES: usize = 32 << 20;

/// A socket that hyper uses and its owner observes.
pub struct Socket<O> {
    stream: TcpStream,
    read_ahead: RefCell<ReadAhead>,
    /// The owner's observer.
    pub observer: O,
}

/// Input that was read from the kernel and that hyper has not read yet.
#[derive(Default)]
struct ReadAhead {
    bytes: VecDeque<u8>,
    /// Whether the peer has closed its side of the connection after these bytes.
    is_closed: bool,
}

impl<O: SocketObserver> Socket<O> {
    /// Creates a socket for a connection, and disables Nagle's algorithm.
    ///
    /// # Errors
    ///
    /// Returns an error if the option cannot be set, because the connection has failed.
    pub fn new(stream: TcpStream, observer: O) -> io::Result<Rc<Socket<O>>> {
        stream.set_nodelay(true)?;
        Ok(Rc::new(Socket { stream, read_ahead: RefCell::default(), observer }))
    }

    /// Returns whether there is no input, which is either bytes to read or the end of the connection. Queries
    /// the kernel, because the runtime's readiness may not reflect bytes that have just arrived.
    pub fn has_no_input(&self) -> bool {
        let read_ahead = self.read_ahead.borrow();
        if read_ahead.is_closed || !read_ahead.bytes.is_empty() {
            return false;
        }
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the peer has closed the connection while a response to it is pending.
    /// `is_response_pending` returns whether a response is pending.
    ///
    /// hyper does not read from a connection until it has responded, so unread bytes of the next request
    /// would hide the end of the connection. They are therefore read ahead, up to 16 KiB; if there are more,
    /// the kernel is polled for the end of the connection. The future must be polled after hyper's, in the
    /// same task.
    pub async fn peer_closed(&self, is_response_pending: impl Fn() -> bool) {
        while !self.read_ahead(&is_response_pending).await {
            sleep(PEER_CHECK_INTERVAL).await;
            if is_response_pending() && self.is_read_closed() {
                return;
            }
        }
    }

    /// Returns whether the peer has closed its side of the connection, even if there are unread bytes.
    fn is_read_closed(&self) -> bool {
        let readiness = self.stream.ready(Interest::READABLE).now_or_never();
        readiness.is_some_and(|ready| ready.map_or(true, |ready| ready.is_read_closed()))
    }

    /// Reads ahead while a response is pending. Returns true if the peer has closed the connection, and false
    /// if the read-ahead buffer is full.
    async fn read_ahead(&self, is_response_pending: impl Fn() -> bool) -> bool {
        poll_fn(|cx| loop {
            let (free_bytes, is_closed) = {
                let read_ahead = self.read_ahead.borrow();
                (MAX_READ_AHEAD_BYTES.saturating_sub(read_ahead.bytes.len()), read_ahead.is_closed)
            };
            if !is_response_pending() {
                return Poll::Pending;
            }
            if is_closed || free_bytes == 0 {
                return Poll::Ready(is_closed);
            }
            if ready!(self.stream.poll_read_ready(cx)).is_err() {
                return Poll::Ready(true);
            }
            let mut chunk = [0; CHUNK_BYTES];
            match self.stream.try_read(&mut chunk[..free_bytes.min(CHUNK_BYTES)]) {
                Ok(0) => self.read_ahead.borrow_mut().is_closed = true,
                Ok(length) => {
                    self.read_ahead.borrow_mut().bytes.extend(&chunk[..length]);
                    // hyper may be waiting for these bytes.
                    cx.waker().wake_by_ref();
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Poll::Ready(true),
            }
        })
        .await
    }

    /// Moves bytes that were read ahead to `chunk` and returns their number, which is 0 at the end of the
    /// connection. Returns `None` if nothing was read ahead.
    fn take_read_ahead(&self, chunk: &mut [u8]) -> Option<usize> {
        let mut read_ahead = self.read_ahead.borrow_mut();
        let length = read_ahead.bytes.len().min(chunk.len());
        if length == 0 && !read_ahead.is_closed {
            return None;
        }
        chunk.iter_mut().zip(read_ahead.bytes.drain(..length)).for_each(|(to, byte)| *to = byte);
        Some(length)
    }

    /// Returns the time since the last bytes were received, or `None` if the kernel does not report it.
    pub fn time_since_last_received(&self) -> Option<Duration> {
        time_since_last_received(&self.stream).ok()
    }

    /// Sends as much of `last_bytes` as the kernel accepts without blocking, and closes this side of the
    /// connection.
    pub fn shutdown(&self, last_bytes: &[u8]) {
        if !last_bytes.is_empty() {
            // The connection is closed whether or not the bytes can be sent.
            let _ = self.stream.try_write(last_bytes);
        }
        // Fails if the peer has reset the connection, which is then closed anyway.
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }

    /// Returns whether closing the socket now could discard data that the peer has not received: the kernel
    /// resets a connection that is closed with unread input.
    pub fn would_reset_on_close(&self) -> bool {
        !self.has_no_input() && unacknowledged_bytes(&self.stream).map_or(true, |bytes| bytes > 0)
    }

    /// Reads and discards input until the peer has also closed the connection, for at most 1 s and 32 MiB.
    /// Closing a connection with unread input would send a reset, which discards the part of the response
    /// that the peer has not read yet.
    pub async fn linger(&self) {
        let discard_input = async {
            let (mut left, mut chunk) = (MAX_LINGER_BYTES, [0; CHUNK_BYTES]);
            while left > 0 && self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut chunk) {
                    Ok(0) => return,
                    Ok(length) => left = left.saturating_sub(length),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        // After the timeout the connection is closed as it is.
        let _ = timeout(LINGER_TIMEOUT, discard_input).await;
    }
}
