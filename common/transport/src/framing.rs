//! Determines how the heads of requests delimit their bodies, in addition to hyper's parser.
//!
//! hyper prefers a `Transfer-Encoding` to a `Content-Length`, merges equal lengths, and reports neither case.
//! Two parsers may delimit such a request differently, so that one reads as part of the body what the other
//! reads as the next request (request smuggling, RFC 9112, section 11.2). It must not be forwarded.

use std::collections::VecDeque;

/// Number of bytes examined at the start of each line. Enough for a relevant field name and a number after
/// it.
const MAX_LINE_PREFIX_BYTES: usize = 64;
/// Length of the line end after a chunk's data.
const CHUNK_END_BYTES: u64 = 2;

/// Whether a request's head delimits its body unambiguously.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By at most one length, or by a transfer coding.
    Unambiguous,
    /// By several lengths, by a length and a transfer coding, or by a length that is not a number.
    Ambiguous,
}

/// The part of a request that the next byte belongs to.
enum State {
    Head,
    /// In a body; the number of bytes not yet received.
    Body(u64),
    /// In the line with a chunk's size.
    ChunkSize,
    /// In a chunk; the number of bytes not yet received, including the line end.
    Chunk(u64),
    Trailers,
    /// After an ambiguous head or a malformed chunk: the rest of the connection cannot be scanned.
    Unrecoverable,
}

/// The scanned part of the current head.
#[derive(Default)]
struct Head {
    has_request_line: bool,
    content_length_count: usize,
    /// The value of the last `Content-Length`; `None` if it is not a number.
    content_length: Option<u64>,
    has_transfer_encoding: bool,
}

/// Scans the bytes of a connection and queues the framing of each head until it is taken.
pub struct HeadScanner {
    state: State,
    /// The start of the incomplete current line, up to [`MAX_LINE_PREFIX_BYTES`].
    line_prefix: Vec<u8>,
    head: Head,
    framings: VecDeque<Framing>,
}

impl Default for HeadScanner {
    fn default() -> HeadScanner {
        HeadScanner {
            state: State::Head,
            line_prefix: Vec::new(),
            head: Head::default(),
            framings: VecDeque::new(),
        }
    }
}

impl HeadScanner {
    /// Takes the framing of the next head, in the order of the requests; `None` if no head is complete.
    pub fn take_framing(&mut self) -> Option<Framing> {
        self.framings.pop_front()
    }

    /// Returns whether a head has started and is not complete.
    pub fn is_in_head(&self) -> bool {
        matches!(self.state, State::Head) && (self.head.has_request_line || !self.line_prefix.is_empty())
    }

    /// Returns whether a body has started and is not complete, or the rest of the connection cannot be
    /// scanned.
    pub fn is_in_body(&self) -> bool {
        !matches!(self.state, State::Head)
    }

    /// Scans the next bytes of the connection.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.state {
                State::Unrecoverable => return,
                State::Body(left) => {
                    let (left, rest) = skip(bytes, left);
                    self.state = if left > 0 { State::Body(left) } else { State::Head };
                    rest
                }
                State::Chunk(left) => {
                    let (left, rest) = skip(bytes, left);
                    self.state = if left > 0 { State::Chunk(left) } else { State::ChunkSize };
                    rest
                }
                State::Head | State::ChunkSize | State::Trailers => self.scan_line(bytes),
            }
        }
    }

    /// Scans bytes up to the end of the line, and returns the rest.
    fn scan_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|&b| b == b'\n');
        let (line, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        let free = MAX_LINE_PREFIX_BYTES - self.line_prefix.len();
        self.line_prefix.extend_from_slice(&line[..line.len().min(free)]);
        if end.is_some() {
            let mut line = std::mem::take(&mut self.line_prefix);
            self.on_line(line.trim_ascii_end());
            // The allocation is reused for the next line.
            line.clear();
            self.line_prefix = line;
        }
        rest
    }

    fn on_line(&mut self, line: &[u8]) {
        match self.state {
            State::ChunkSize => self.state = after_chunk_size(line),
            State::Trailers if line.is_empty() => self.state = State::Head,
            State::Trailers => {}
            // Empty lines before a request line are ignored.
            _ if line.is_empty() && !self.head.has_request_line => {}
            _ if line.is_empty() => self.on_head_end(),
            _ if !self.head.has_request_line => self.head.has_request_line = true,
            _ => self.head.on_field(line),
        }
    }

    fn on_head_end(&mut self) {
        let (framing, state) = std::mem::take(&mut self.head).framing();
        self.framings.push_back(framing);
        self.state = state;
    }
}

impl Head {
    fn on_field(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|&b| b == b':') else { return };
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        if name.eq_ignore_ascii_case(b"content-length") {
            self.content_length_count += 1;
            self.content_length = std::str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok());
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_encoding = true;
        }
    }

    /// Returns the framing of the complete head, and the state after it.
    fn framing(&self) -> (Framing, State) {
        match (self.content_length_count, self.has_transfer_encoding, self.content_length) {
            (0, true, _) => (Framing::Unambiguous, State::ChunkSize),
            (0, false, _) | (1, false, Some(0)) => (Framing::Unambiguous, State::Head),
            (1, false, Some(length)) => (Framing::Unambiguous, State::Body(length)),
            _ => (Framing::Ambiguous, State::Unrecoverable),
        }
    }
}

/// Skips up to `left` bytes. Returns how many are still to be skipped, and the rest.
fn skip(bytes: &[u8], left: u64) -> (u64, &[u8]) {
    let skipped = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
    (left - skipped as u64, &bytes[skipped..])
}

/// Returns the state after the line with a chunk's size.
fn after_chunk_size(line: &[u8]) -> State {
    // Any text after the digits is a chunk extension.
    let digits = line.split(|b| !b.is_ascii_hexdigit()).next().unwrap_or_default();
    let size = std::str::from_utf8(digits).ok().and_then(|text| u64::from_str_radix(text, 16).ok());
    match size {
        Some(0) => State::Trailers,
        Some(size) => State::Chunk(size.saturating_add(CHUNK_END_BYTES)),
        None => State::Unrecoverable,
    }
}

#[cfg(test)]
mod tests;
