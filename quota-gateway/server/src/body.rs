//! Bodies of requests and responses: buffered while they are short, streamed when they are long.
//!
//! A buffered request body can be sent again by a retry, and a buffered response is used only when all of it
//! has arrived. A streamed body is forwarded once, no faster than its reader reads it, so that memory stays
//! bounded: [`request_body`] is forwarded to the server, [`response_body`] to the client. [`transfer_rate`]
//! determines when a sender is too slow.

pub mod request_body;
pub mod response_body;
pub mod transfer_rate;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};

/// The longest request or response body that is accepted, in bytes.
pub const MAX_BODY_BYTES: usize = 32 << 20;
/// A body of at most this many bytes is buffered: a request can then be sent again, and a response is used
/// only when all of it has arrived. A longer one is streamed.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Reads a body of at most [`MAX_BUFFERED_BYTES`]; returns `None` if it is longer or ends prematurely.
pub async fn read_buffered(body: Incoming) -> Option<Bytes> {
    Limited::new(body, MAX_BUFFERED_BYTES).collect().await.ok().map(|collected| collected.to_bytes())
}

/// Reads the next bytes of a body; returns `None` at its end.
pub async fn next_data(body: &mut Incoming) -> hyper::Result<Option<Bytes>> {
    while let Some(frame) = body.frame().await {
        // Trailers are dropped, because no reader uses them.
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
