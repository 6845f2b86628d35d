//! The body of a response as a stream of server-sent events.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use marblecroft_routing::events::{EventSplitter, ServerSentEvent};
use std::time::Duration;
use tokio::time::timeout;

/// What one frame of the body brought.
pub enum StreamStep {
    /// A frame, which may have completed events: [`EventStream::next_event`] returns them.
    Frame,
    /// The stream ended after a complete event.
    Complete,
    /// The stream ended inside an event, or the connection broke off.
    Broken,
    /// No frame came in time.
    TimedOut,
}

/// The events of one response.
pub struct EventStream {
    body: Incoming,
    splitter: EventSplitter,
}

impl EventStream {
    /// Reads `body` as events.
    pub fn new(body: Incoming) -> EventStream {
        EventStream { body, splitter: EventSplitter::default() }
    }

    /// Reads the next frame; waits for it for `frame_timeout` at most. Dropping the future loses nothing: a
    /// frame is buffered in the same poll that receives it.
    pub async fn next(&mut self, frame_timeout: Duration) -> StreamStep {
        let data = match timeout(frame_timeout, self.body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) if !self.splitter.is_partial() => return StreamStep::Complete,
            Ok(Some(Err(_)) | None) => return StreamStep::Broken,
            Err(_) => return StreamStep::TimedOut,
        };
        self.splitter.push(&data);
        StreamStep::Frame
    }

    /// Returns the next event that the frames so far have completed.
    pub fn next_event(&mut self) -> Option<ServerSentEvent> {
        self.splitter.next_event()
    }

    /// Returns whether the event that has begun is too long, so that the stream is to be given up. All complete events must
    /// have been taken.
    pub fn is_overlong(&self) -> bool {
        self.splitter.is_overlong()
    }
}
