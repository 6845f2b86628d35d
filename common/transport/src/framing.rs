//! How heads of requests say where their bodies end, read beside hyper.
//!
//! hyper takes a `Transfer-Encoding` over a `Content-Length`, merges equal lengths, and tells of neither. Of two
//! readers of such a request one may take for its body what the other takes for a further request, so it must
//! not be passed on.

use std::collections::VecDeque;

/// As much of a line as is looked at: a name that matters and a number behind it.
const MAX_LINE_PREFIX_BYTES: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// At most one length, or chunks.
    Unambiguous,
    /// Several lengths, or one beside a coding.
    Ambiguous,
}

enum State {
    Head,
    Body(u64),
    ChunkSize,
    /// With the end of its line.
    Chunk(u64),
    Trailers,
    /// Nothing more can be read from such a connection.
    Unrecoverable,
}

/// Follows the bytes of a connection, and keeps what each head said until it is asked for.
pub struct HeadScanner {
    state: State,
    /// The beginning of the line that has not ended, and whether one before it belongs to the same head.
    line_prefix: Vec<u8>,
    has_request_line: bool,
    content_length_count: usize,
    /// `None` where it cannot be read.
    content_length: Option<u64>,
    has_transfer_encoding: bool,
    framings: VecDeque<Framing>,
}

impl Default for HeadScanner {
    fn default() -> HeadScanner {
        HeadScanner {
            state: State::Head,
            line_prefix: Vec::new(),
            has_request_line: false,
            content_length_count: 0,
            content_length: Some(0),
            has_transfer_encoding: false,
            framings: VecDeque::new(),
        }
    }
}

impl HeadScanner {
    /// What the next head said, in the order in which they came.
    pub fn take_framing(&mut self) -> Option<Framing> {
        self.framings.pop_front()
    }

    /// Whether a head has begun and not ended.
    pub fn is_in_head(&self) -> bool {
        matches!(self.state, State::Head) && (self.has_request_line || !self.line_prefix.is_empty())
    }

    /// Whether a body has begun and not ended.
    pub fn is_in_body(&self) -> bool {
        !matches!(self.state, State::Head)
    }

    pub fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.state {
                State::Unrecoverable => return,
                State::Body(left) | State::Chunk(left) => {
                    let here = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    bytes = &bytes[here..];
                    let left = left - here as u64;
                    self.state = match self.state {
                        State::Body(_) if left > 0 => State::Body(left),
                        State::Body(_) => State::Head,
                        _ if left > 0 => State::Chunk(left),
                        _ => State::ChunkSize,
                    };
                }
                State::Head | State::ChunkSize | State::Trailers => {
                    let end = bytes.iter().position(|&b| b == b'\n');
                    let (part, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
                    let room = MAX_LINE_PREFIX_BYTES - self.line_prefix.len();
                    self.line_prefix.extend_from_slice(&part[..part.len().min(room)]);
                    if end.is_some() {
                        self.on_line_end();
                        self.line_prefix.clear();
                    }
                    bytes = rest;
                }
            }
        }
    }

    fn on_line_end(&mut self) {
        let line = self.line_prefix.trim_ascii_end();
        match self.state {
            State::ChunkSize => {
                // What follows the digits is an extension.
                let digits = line.split(|b| !b.is_ascii_hexdigit()).next().unwrap_or_default();
                let size =
                    std::str::from_utf8(digits).ok().and_then(|text| u64::from_str_radix(text, 16).ok());
                self.state = match size {
                    Some(0) => State::Trailers,
                    Some(size) => State::Chunk(size.saturating_add(2)),
                    None => State::Unrecoverable,
                };
                return;
            }
            State::Trailers => {
                if line.is_empty() {
                    self.state = State::Head;
                }
                return;
            }
            _ => {}
        }
        if line.is_empty() {
            // Empty lines ahead of a request are passed over.
            if self.has_request_line {
                self.on_head_end();
            }
        } else if !std::mem::replace(&mut self.has_request_line, true) {
            // The request's own line.
        } else if let Some(colon) = line.iter().position(|&b| b == b':') {
            let (name, value) = (&line[..colon], &line[colon + 1..]);
            if name.eq_ignore_ascii_case(b"content-length") {
                self.content_length_count += 1;
                self.content_length =
                    std::str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok());
            } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                self.has_transfer_encoding = true;
            }
        }
    }

    fn on_head_end(&mut self) {
        let (framing, place) =
            match (self.content_length_count, self.has_transfer_encoding, self.content_length) {
                (0, true, _) => (Framing::Unambiguous, State::ChunkSize),
                (0, false, _) | (1, false, Some(0)) => (Framing::Unambiguous, State::Head),
                (1, false, Some(length)) => (Framing::Unambiguous, State::Body(length)),
                _ => (Framing::Ambiguous, State::Unrecoverable),
            };
        let found = std::mem::take(&mut self.framings);
        *self = HeadScanner {
            state: place,
            line_prefix: std::mem::take(&mut self.line_prefix),
            framings: found,
            ..HeadScanner::default()
        };
        self.framings.push_back(framing);
    }
}

#[cfg(test)]
mod tests;
