//! The body of a response as a stream of server-sent events.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use marblecroft_routing::events::{EventSplitter, ServerSentEvent};
use std::time::Duration;
use tokio::time::timeout;

/// Result of reading one frame of the body.
pub enum StreamStep {
    /// A frame was read. [`EventStream::next_event`] returns the events that it completed.
    Frame,
    /// The stream ended after a complete event.
    Complete,
    /// The stream ended inside an event, or the connection failed.
    Broken,
    /// No frame arrived in time.
    TimedOut,
}

/// The events of one response.
pub struct EventStream {
    body: Incoming,
    splitter: EventSplitter,
}

impl EventStream {
    /// Returns the events of `body`.
    pub fn new(body: Incoming) -> EventStream {
        EventStream { body, splitter: EventSplitter::default() }
    }

    /// Reads the next frame, waiting at most `frame_timeout`. Dropping the future loses no data: a
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

    /// Returns whether the incomplete event is too long, in which case the stream should be
    /// aborted. All complete events must have been taken before.
    pub fn is_overlong(&self) -> bool {
        self.splitter.is_overlong()
    }
}
