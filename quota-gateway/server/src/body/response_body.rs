//! The body of a response to a client, buffered or streamed from a server.

use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc;

/// The number of chunks of a streamed response that are buffered for the client.
const CHUNKS_BUFFERED: usize = 2;

/// An item of a streamed response. A stream that stops without [`Chunk::End`] is incomplete.
pub enum Chunk {
    /// The next bytes.
    Data(Bytes),
    /// The end of a complete body.
    End,
}

/// A response's body.
pub enum ResponseBody {
    /// The body is in memory.
    Buffered(Full<Bytes>),
    /// The body is streamed.
    Streamed {
        /// The chunks that are not forwarded yet.
        chunks: mpsc::Receiver<Chunk>,
        /// The length of the body, if the server's head states it.
        length: Option<u64>,
    },
}

impl ResponseBody {
    /// Creates a streamed body and the sender of its chunks.
    pub fn streamed(length: Option<u64>) -> (mpsc::Sender<Chunk>, ResponseBody) {
        let (sender, chunks) = mpsc::channel(CHUNKS_BUFFERED);
        (sender, ResponseBody::Streamed { chunks, length })
    }
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> ResponseBody {
        ResponseBody::Buffered(Full::new(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            ResponseBody::Buffered(bytes) => Pin::new(bytes).poll_frame(cx).map_err(|never| match never {}),
            ResponseBody::Streamed { chunks, .. } => Poll::Ready(match ready!(chunks.poll_recv(cx)) {
                Some(Chunk::Data(data)) => Some(Ok(Frame::data(data))),
                Some(Chunk::End) => None,
                // The error makes hyper close the connection, so that the client detects the incomplete
                // response.
                None => Some(Err(io::ErrorKind::UnexpectedEof.into())),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Buffered(bytes) if bytes.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => bytes.size_hint(),
            ResponseBody::Streamed { length, .. } => {
                length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
