//! The interface through which hyper uses a socket.

use super::{Socket, SocketObserver, CHUNK_BYTES};
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;

/// Implements hyper's I/O traits for a socket. Bytes that the owner has read ahead are returned first.
pub struct HyperIo<O>(pub Rc<Socket<O>>);

impl<O: SocketObserver> Read for HyperIo<O> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.0;
        let mut chunk = [0; CHUNK_BYTES];
        let max_bytes = buf.remaining().min(CHUNK_BYTES);
        let length = match socket.take_read_ahead(&mut chunk[..max_bytes]) {
            Some(length) => length,
            None => loop {
                ready!(socket.stream.poll_read_ready(cx))?;
                match socket.stream.try_read(&mut chunk[..max_bytes]) {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    read => break read?,
                }
            },
        };
        socket.observer.on_received(&chunk[..length]);
        buf.put_slice(&chunk[..length]);
        Poll::Ready(Ok(()))
    }
}

impl<O: SocketObserver> HyperIo<O> {
    /// Calls `write` when the socket is writable. If the observer does not permit output, all `length` bytes
    /// are discarded.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        length: usize,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let socket = &self.0;
        if !socket.observer.permits_output() {
            return Poll::Ready(Ok(length));
        }
        loop {
            let writable = socket.stream.poll_write_ready(cx);
            socket.observer.on_blocked(writable.is_pending());
            ready!(writable)?;
            match write(&socket.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl<O: SocketObserver> Write for HyperIo<O> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, buf.len(), |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = bufs.iter().map(|buf| buf.len()).sum();
        self.poll_write_with(cx, length, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.observer.on_flushed();
        Poll::Ready(Ok(()))
    }

    /// Does nothing: the owner closes the socket, and may have to send its own reply first.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
