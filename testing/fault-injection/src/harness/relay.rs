//! Relays a connection between two endpoints, subject to the faults of the link.
//!
//! Data that is sent while the link is cut waits, as in a socket buffer, and so does the close of a side.
//! Both arrive once the link is open again.

use crate::deployment::Nanos;
use crate::endpoint::Endpoint;
use crate::harness::RunContext;
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;

/// Maximum number of bytes that are in transit in one direction of a connection.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
const READ_BYTES: usize = 16 << 10;

/// A side of a connection.
pub trait Side: AsyncRead + AsyncWrite + Unpin {
    /// Makes the connection end with a reset when it is dropped.
    fn abort(&self);
}

impl Side for TcpStream {
    fn abort(&self) {
        // An error is ignored: without the option the other side sees an orderly close instead of a reset.
        drop(SockRef::from(self).set_linger(Some(Duration::ZERO)));
    }
}

impl Side for DuplexStream {
    fn abort(&self) {}
}

/// Observes or changes the data in one direction.
pub type Tap = Box<dyn FnMut(Bytes) -> Bytes>;

/// Observers of a relayed connection.
#[derive(Default)]
pub struct Observer {
    /// Called when the first side has closed or reset the connection.
    pub on_closed: Option<Box<dyn FnOnce()>>,
    /// Observes the data from the first side.
    pub from_caller: Option<Tap>,
    /// Observes the data to the first side.
    pub to_caller: Option<Tap>,
    /// Number of bytes that were delivered to the first side.
    pub delivered: Rc<Cell<u64>>,
}

/// Relays the data of both sides until both have closed, or resets both.
pub async fn relay<A: Side, B: Side>(
    context: &RunContext,
    a: &mut A,
    from: Endpoint,
    b: &mut B,
    to: Endpoint,
    mut observer: Observer,
) {
    let ended = {
        let (a_read, a_write) = split(&mut *a);
        let (b_read, b_write) = split(&mut *b);
        let uncounted = Cell::new(0);
        let on_closed = observer.on_closed.take();
        let from_caller =
            relay_direction(context, from, to, a_read, b_write, observer.from_caller, on_closed, &uncounted);
        let to_caller = relay_direction(
            context,
            to,
            from,
            b_read,
            a_write,
            observer.to_caller,
            None,
            &observer.delivered,
        );
        tokio::select! {
            both = async { tokio::try_join!(from_caller, to_caller) } => both.is_ok(),
            () = context.wait_until(|context| context.is_reset(from, to)) => false,
        }
    };
    if !ended {
        // A reset passes over the link like data, so it waits until the link is open. A fault that resets
        // connections takes effect at once.
        context
            .wait_until(|context| {
                context.is_reset(from, to)
                    || context.link_state(from, to).open && context.link_state(to, from).open
            })
            .await;
        a.abort();
        b.abort();
    }
}

/// Relays one direction until its sender has closed. Fails if a side was reset.
#[allow(clippy::too_many_arguments)] // both ends of one direction and its observers
async fn relay_direction(
    context: &RunContext,
    from: Endpoint,
    to: Endpoint,
    mut read: impl AsyncRead + Unpin,
    mut write: impl AsyncWrite + Unpin,
    mut tap: Option<Tap>,
    mut on_closed: Option<Box<dyn FnOnce()>>,
    delivered: &Cell<u64>,
) -> io::Result<()> {
    let mut in_transit: VecDeque<(Nanos, Bytes)> = VecDeque::new();
    let mut buffered = 0;
    let mut ended = false;
    let mut buffer = BytesMut::new();
    loop {
        if in_transit.is_empty() && ended {
            context.wait_until(|context| context.link_state(from, to).open).await;
            // The other side may have ended already, so errors are ignored.
            drop(write.shutdown().await);
            return Ok(());
        }
        let due = in_transit.front().map_or(0, |(at, _)| *at);
        tokio::select! {
            biased;
            () = async {
                context.wait_until(|context| context.link_state(from, to).open).await;
                context.sleep_until(due).await;
            }, if !in_transit.is_empty() => {
                // If the link was cut while the chunk was in transit, the chunk waits until the link is open.
                if context.link_state(from, to).open {
                    if let Some((_, chunk)) = in_transit.pop_front() {
                        buffered -= chunk.len();
                        write.write_all(&chunk).await?;
                        delivered.set(delivered.get() + chunk.len() as u64);
                    }
                }
            }
            n = async { buffer.reserve(READ_BYTES); read.read_buf(&mut buffer).await },
                if !ended && buffered < MAX_BUFFERED_BYTES =>
            {
                if !matches!(n, Ok(n) if n > 0) {
                    on_closed.take().into_iter().for_each(|on_closed| on_closed());
                    ended = true;
                    // Earlier data is delivered before the reset.
                    if let Err(e) = n {
                        if in_transit.is_empty() {
                            return Err(e);
                        }
                    }
                    continue;
                }
                let mut chunk = buffer.split().freeze();
                if let Some(tap) = &mut tap {
                    chunk = tap(chunk);
                    if chunk.is_empty() {
                        continue;
                    }
                }
                let link = context.link_state(from, to);
                let delay = link.stream_delay(&mut *context.link_rng.borrow_mut());
                if in_transit.is_empty() && link.open && delay == 0 {
                    write.write_all(&chunk).await?;
                    delivered.set(delivered.get() + chunk.len() as u64);
                } else {
                    buffered += chunk.len();
                    // Chunks of a stream keep their order.
                    let at = in_transit.back().map_or(0, |(at, _)| *at).max(context.now() + delay);
                    in_transit.push_back((at, chunk));
                }
            }
        }
    }
}
