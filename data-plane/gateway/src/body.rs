//! Bodies of answers: whole ones, and streams that are passed on as they come.

use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// The body of any answer.
pub type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;

/// Parts of a stream that may wait for the client to take them.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// A body that is there as a whole.
pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// What a stream's end is sent to: parts of it, or the error with which it breaks off.
pub type ChunkSender = Sender<io::Result<Bytes>>;

struct ChunkStream(Receiver<io::Result<Bytes>>);

impl Body for ChunkStream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.0.poll_recv(cx).map(|part| part.map(|part| part.map(Frame::data)))
    }
}

/// A body that is passed on as it comes. It ends well when the sender is dropped.
pub fn stream() -> (ChunkSender, ResponseBody) {
    let (sender, receiver) = channel(MAX_BUFFERED_CHUNKS);
    (sender, Box::pin(ChunkStream(receiver)))
}
