//! Splits a byte stream into server-sent events, without interpreting more of them than resumption needs.
//!
//! The gateway forwards complete events only, byte for byte. A stream that breaks off inside an event can then be resumed at
//! another server after the last complete one (`Last-Event-Id`) without the client seeing a torn event. The price is that an
//! event waits here until its last byte has come.
//!
//! Lines may end with LF or CRLF. A lone CR, which the standard also allows, ends no line here; no server sends it.

/// The most bytes of one event. Bounds memory against a stream that never ends one.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// The event as it was received, with the empty line that ends it.
    pub bytes: Vec<u8>,
    /// Its `id` field, where that is a whole number.
    pub id: Option<u64>,
    /// Its `data` fields, joined by line feeds.
    pub data: String,
}

/// Splits a stream into events.
///
/// ```
/// let mut splitter = marblecroft_routing::events::EventSplitter::default();
/// splitter.push(b"id: 1\ndata: o");
/// assert_eq!(splitter.next_event(), None);
/// splitter.push(b"ne\n\n");
/// assert_eq!(splitter.next_event().unwrap().data, "one");
/// assert!(!splitter.is_partial());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// The length of the prefix of `pending` that has been searched for an end of an event without success.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` where more bytes are needed for one.
    pub fn next_event(&mut self) -> Option<ServerSentEvent> {
        let end = self.find_end()?;
        let rest = self.pending.split_off(end);
        let bytes = std::mem::replace(&mut self.pending, rest);
        self.searched = 0;
        Some(parse(bytes))
    }

    /// Whether an event has begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the unfinished event is longer than an event may be (4 MiB). The stream should then be given up.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns the offset behind the first empty line.
    fn find_end(&mut self) -> Option<usize> {
        // The end may have begun in the bytes searched before: it is at most "\n\r\n".
        let from = self.searched.saturating_sub(3);
        for at in from..self.pending.len() {
            if self.pending[at] != b'\n' {
                continue;
            }
            let line = &self.pending[..at];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() || line.ends_with(b"\n") {
                return Some(at + 1);
            }
        }
        self.searched = self.pending.len();
        None
    }
}

fn parse(bytes: Vec<u8>) -> ServerSentEvent {
    let mut id = None;
    let mut data: Vec<String> = Vec::new();
    for line in bytes.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|&byte| byte == b':') else { continue };
        let value = &line[colon + 1..];
        let value = String::from_utf8_lossy(value.strip_prefix(b" ").unwrap_or(value));
        match &line[..colon] {
            b"id" => id = value.trim().parse().ok(),
            b"data" => data.push(value.into_owned()),
            _ => {}
        }
    }
    ServerSentEvent { bytes, id, data: data.join("\n") }
}
