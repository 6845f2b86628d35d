//! Server-sent events, cut out of a stream of bytes.

/// Most bytes of one event. Guards memory against a stream that never ends one.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// As it came, with the empty line that ends it.
    pub bytes: Vec<u8>,
    /// Its id, where it has one that is a whole number.
    pub id: Option<u64>,
    /// Its data; several lines are joined by line feeds.
    pub data: String,
}

/// Cuts a stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Bytes of `pending` that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Takes bytes as they come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<ServerSentEvent> {
        let end = self.find_end()?;
        let rest = self.pending.split_off(end);
        let bytes = std::mem::replace(&mut self.pending, rest);
        self.searched = 0;
        Some(parse(bytes))
    }

    /// Whether an event has begun and not ended, or is longer than can be kept.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether an event is longer than can be kept.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Where the first empty line ends.
    fn find_end(&mut self) -> Option<usize> {
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
