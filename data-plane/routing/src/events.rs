//! Splits a byte stream into server-sent events. Only the `id` and `data` fields are parsed.
//!
//! The gateway forwards only complete events, byte for byte. If a stream is interrupted inside an
//! event, it can be resumed at another server after the last complete event (`Last-Event-Id`), and
//! the client never receives a partial event. The cost is that an event is buffered until its last
//! byte has arrived.
//!
//! Lines may end with LF or CRLF. A lone CR, which the standard also allows, is not treated as a
//! line end; no server sends it.

/// Maximum size of one event. Bounds memory if a server never ends an event.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// The event as received, including the empty line that ends it.
    pub bytes: Vec<u8>,
    /// Value of the `id` field, if it is an unsigned integer.
    pub id: Option<u64>,
    /// Values of the `data` fields, joined by line feeds.
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
    /// Length of the prefix of `pending` that is known to contain no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<ServerSentEvent> {
        let end = self.find_end()?;
        let rest = self.pending.split_off(end);
        let bytes = std::mem::replace(&mut self.pending, rest);
        self.searched = 0;
        Some(parse(bytes))
    }

    /// Returns whether the buffer holds the beginning of an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the incomplete event exceeds the maximum size (4 MiB). The caller should
    /// then abort the stream.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns the offset just after the first empty line.
    fn find_end(&mut self) -> Option<usize> {
        // An event ends with at most 3 bytes ("\n\r\n"), some of which may already have been
        // searched.
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
