//! A connection through the lab: what one side sends reaches the other as the rules allow.
//!
//! What is sent while the way is cut waits, as it would in a system's buffer, and so does the word that a side has closed;
//! both arrive once the way is open again.

use crate::deployment::Nanos;
use crate::endpoint::End;
use crate::shell::World;
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;

/// What waits on one way of a connection, at the most.
const HELD_MOST: usize = 256 << 10;
const READ_AT_ONCE: usize = 16 << 10;

/// Either side of a connection.
pub trait Side: AsyncRead + AsyncWrite + Unpin {
    /// It is to end with a reset when it is dropped.
    fn abort(&self);
}

impl Side for TcpStream {
    fn abort(&self) {
        // It is dropped in any case; without the option the other side sees an orderly end.
        drop(SockRef::from(self).set_linger(Some(Duration::ZERO)));
    }
}

impl Side for DuplexStream {
    fn abort(&self) {}
}

/// What looks at, or changes, what passes on one way.
pub type Tap = Box<dyn FnMut(Bytes) -> Bytes>;

/// What is seen of a relayed connection.
#[derive(Default)]
pub struct Watch {
    /// The first side has closed, or is gone.
    pub closed: Option<Box<dyn FnOnce()>>,
    /// Observes what goes from the caller.
    pub there: Option<Tap>,
    /// Observes what comes back.
    pub back: Option<Tap>,
    /// Bytes that have reached the first side.
    pub delivered: Rc<Cell<u64>>,
}

/// Passes on what the two sides send, until both have ended.
pub async fn relay<A: Side, B: Side>(
    world: &World,
    a: &mut A,
    from: End,
    b: &mut B,
    to: End,
    mut watch: Watch,
) {
    let ended = {
        let (a_read, a_write) = split(&mut *a);
        let (b_read, b_write) = split(&mut *b);
        let unseen = Cell::new(0);
        let closed = watch.closed.take();
        let there = pump(world, from, to, a_read, b_write, watch.there, closed, &unseen);
        let back = pump(world, to, from, b_read, a_write, watch.back, None, &watch.delivered);
        tokio::select! {
            both = async { tokio::try_join!(there, back) } => both.is_ok(),
            () = world.until(|world| world.reset(from, to)) => false,
        }
    };
    if !ended {
        // The word of it takes the same way as all else; where resets are the fault, it comes at once.
        world
            .until(|world| world.reset(from, to) || world.path(from, to).open && world.path(to, from).open)
            .await;
        a.abort();
        b.abort();
    }
}

/// One way. An error: a side was reset.
#[allow(clippy::too_many_arguments)] // both ends of one way, and what is seen of it
async fn pump(
    world: &World,
    from: End,
    to: End,
    mut read: impl AsyncRead + Unpin,
    mut write: impl AsyncWrite + Unpin,
    mut tap: Option<Tap>,
    mut closed: Option<Box<dyn FnOnce()>>,
    delivered: &Cell<u64>,
) -> io::Result<()> {
    let mut waiting: VecDeque<(Nanos, Bytes)> = VecDeque::new();
    let mut held = 0;
    let mut ended = false;
    let mut buffer = BytesMut::new();
    loop {
        if waiting.is_empty() && ended {
            world.until(|world| world.path(from, to).open).await;
            // The other side may be gone already; then nobody needs to be told.
            drop(write.shutdown().await);
            return Ok(());
        }
        let due = waiting.front().map_or(0, |(at, _)| *at);
        tokio::select! {
            biased;
            () = async {
                world.until(|world| world.path(from, to).open).await;
                world.sleep_until(due).await;
            }, if !waiting.is_empty() => {
                // A cut may have begun while it was on its way; it then waits on.
                if world.path(from, to).open {
                    if let Some((_, piece)) = waiting.pop_front() {
                        held -= piece.len();
                        write.write_all(&piece).await?;
                        delivered.set(delivered.get() + piece.len() as u64);
                    }
                }
            }
            n = async { buffer.reserve(READ_AT_ONCE); read.read_buf(&mut buffer).await },
                if !ended && held < HELD_MOST =>
            {
                if !matches!(n, Ok(n) if n > 0) {
                    closed.take().into_iter().for_each(|closed| closed());
                    ended = true;
                    // What came before is passed on first; the reset follows it.
                    if let Err(e) = n {
                        if waiting.is_empty() {
                            return Err(e);
                        }
                    }
                    continue;
                }
                let mut piece = buffer.split().freeze();
                if let Some(tap) = &mut tap {
                    piece = tap(piece);
                    if piece.is_empty() {
                        continue;
                    }
                }
                let path = world.path(from, to);
                let delay = path.stream_delay(&mut *world.chance.borrow_mut());
                if waiting.is_empty() && path.open && delay == 0 {
                    write.write_all(&piece).await?;
                    delivered.set(delivered.get() + piece.len() as u64);
                } else {
                    held += piece.len();
                    // Streams keep their order.
                    let at = waiting.back().map_or(0, |(at, _)| *at).max(world.now() + delay);
                    waiting.push_back((at, piece));
                }
            }
        }
    }
}
