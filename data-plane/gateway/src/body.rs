//! Response bodies: complete bodies, streams that are forwarded chunk by chunk, and bodies that
//! hold a guard.

use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// Body of any response.
pub type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;

/// Maximum number of stream chunks that are buffered for the client. Reading from the server pauses
/// while the buffer is full.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Returns a complete body.
pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Sending half of a stream. It accepts chunks, or an error that aborts the body.
pub type ChunkSender = Sender<io::Result<Bytes>>;

struct ChunkStream(Receiver<io::Result<Bytes>>);

impl Body for ChunkStream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.0.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

/// Returns a streamed body and its sender. Dropping the sender ends the body without an error.
pub fn stream() -> (ChunkSender, ResponseBody) {
    let (sender, receiver) = channel(MAX_BUFFERED_CHUNKS);
    (sender, Box::pin(ChunkStream(receiver)))
}

/// A body that holds a guard until it is dropped.
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

/// Returns `body` with a `guard` that is dropped together with it.
pub fn guarded(body: ResponseBody, guard: impl Unpin + 'static) -> ResponseBody {
    Box::pin(GuardedBody { body, _guard: guard })
}
