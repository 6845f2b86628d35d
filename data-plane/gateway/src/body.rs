//! Response bodies: complete ones, streams that are passed on as they come, and bodies that keep a guard alive.

use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// The body of any response.
pub type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;

/// The most chunks of a stream that wait for the client. The server is not read on while there are so many.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Returns a body that is complete.
pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// The sending half of a stream: takes chunks, or the error with which the body breaks off.
pub type ChunkSender = Sender<io::Result<Bytes>>;

struct ChunkStream(Receiver<io::Result<Bytes>>);

impl Body for ChunkStream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.0.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

/// Returns a body that is passed on as it comes, with its sender. Dropping the sender ends the body well.
pub fn stream() -> (ChunkSender, ResponseBody) {
    let (sender, receiver) = channel(MAX_BUFFERED_CHUNKS);
    (sender, Box::pin(ChunkStream(receiver)))
}

/// A body that keeps a guard until it is dropped.
struct GuardedBody<G> {
    body: ResponseBody,
    _guard: G,
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns `body`, with `guard` dropped when it is.
pub fn guarded(body: ResponseBody, guard: impl Unpin + 'static) -> ResponseBody {
    Box::pin(GuardedBody { body, _guard: guard })
}
