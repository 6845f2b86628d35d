//! The file format of a history.
//!
//! `docs/fault-injection.md` describes it. A file starts with [`MAGIC`] and the version, followed by frames. A
//! frame consists of the length of its payload, the payload's CRC-32, and the payload: events encoded with
//! `postcard`. A reader rejects lengths above [`MAX_FRAME_BYTES`].

use super::TimedEvent;
use crate::error::RecordingError;
use std::fs::File;
use std::io::{self, BufReader, Read, Write};
use std::path::Path;

/// Magic number at the start of a history file.
pub const MAGIC: [u8; 8] = *b"MDLABHIS";
/// The version of the format.
pub const VERSION: u16 = 4;
/// Maximum length of a frame's payload that a reader accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Events are buffered up to about this many bytes before a frame is written.
const FRAME_TARGET_BYTES: usize = 32 << 10;

/// Writes events to a file.
pub struct Writer<W: Write> {
    out: W,
    pending: Vec<u8>,
}

impl<W: Write> Writer<W> {
    /// Returns a writer that has written the file header.
    ///
    /// # Errors
    ///
    /// The header cannot be written.
    pub fn new(mut out: W) -> io::Result<Writer<W>> {
        out.write_all(&MAGIC)?;
        out.write_all(&VERSION.to_le_bytes())?;
        Ok(Writer { out, pending: Vec::with_capacity(2 * FRAME_TARGET_BYTES) })
    }

    /// Appends an event to the buffer, and writes the buffer when it is large enough.
    ///
    /// # Errors
    ///
    /// Earlier events cannot be written.
    pub fn add(&mut self, event: &TimedEvent) -> io::Result<()> {
        let pending = std::mem::take(&mut self.pending);
        self.pending = postcard::to_extend(event, pending).map_err(io::Error::other)?;
        match self.pending.len() >= FRAME_TARGET_BYTES {
            true => self.flush(),
            false => Ok(()),
        }
    }

    /// Writes the buffered events as one frame.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let length = u32::try_from(self.pending.len()).map_err(io::Error::other)?;
        self.out.write_all(&length.to_le_bytes())?;
        self.out.write_all(&crc32fast::hash(&self.pending).to_le_bytes())?;
        self.out.write_all(&self.pending)?;
        self.pending.clear();
        self.out.flush()
    }
}

/// Why a history cannot be read, and at which byte.
#[derive(Debug, PartialEq, Eq)]
pub struct Damage {
    /// Offset in the file.
    pub byte: u64,
    /// Description of the damage.
    pub what: &'static str,
}

impl std::fmt::Display for Damage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "byte {}: {}", self.byte, self.what)
    }
}

/// Reads the events of a history one after another.
pub struct Reader<R: Read> {
    input: R,
    byte: u64,
}

impl Reader<BufReader<File>> {
    /// Opens a history.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or does not start with a valid header.
    pub fn open(path: &Path) -> Result<Self, RecordingError> {
        let file = File::open(path).map_err(|error| RecordingError::File(path.to_owned(), error))?;
        let reader = Reader::new(BufReader::with_capacity(1 << 20, file));
        reader.map_err(|damage| RecordingError::Damaged(path.to_owned(), damage))
    }
}

impl<R: Read> Reader<R> {
    /// Returns a reader that has read the file header.
    ///
    /// # Errors
    ///
    /// The input does not start with a header, or the header has another version.
    pub fn new(input: R) -> Result<Reader<R>, Damage> {
        let mut reader = Reader { input, byte: 0 };
        let mut head = [0; 10];
        if reader.fill(&mut head)? != head.len() || head[..8] != MAGIC {
            return Err(Damage { byte: 0, what: "the file header is not that of a history" });
        }
        match u16::from_le_bytes([head[8], head[9]]) {
            VERSION => Ok(reader),
            _ => Err(Damage { byte: 8, what: "the format version is not supported" }),
        }
    }

    /// Fills the buffer, or as much of it as the input has bytes left. Returns the number of bytes read.
    fn fill(&mut self, into: &mut [u8]) -> Result<usize, Damage> {
        let mut filled = 0;
        while filled < into.len() {
            match self.input.read(&mut into[filled..]) {
                Ok(0) => break,
                Ok(n) => filled += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    return Err(Damage { byte: self.byte + filled as u64, what: "the file cannot be read" })
                }
            }
        }
        self.byte += filled as u64;
        Ok(filled)
    }

    /// Passes each event to `take`, up to the end of the file.
    pub fn each(&mut self, mut take: impl FnMut(TimedEvent)) -> Result<(), Damage> {
        let mut payload = Vec::new();
        loop {
            let begin = self.byte;
            let damage = |what| Err(Damage { byte: begin, what });
            let mut head = [0; 8];
            match self.fill(&mut head)? {
                0 => return Ok(()),
                8 => {}
                _ => return damage("truncated frame header"),
            }
            let word = |i: usize| u32::from_le_bytes([head[i], head[i + 1], head[i + 2], head[i + 3]]);
            let length = word(0) as usize;
            if length == 0 || length > MAX_FRAME_BYTES {
                return damage("invalid frame length");
            }
            payload.resize(length, 0);
            if self.fill(&mut payload)? != length {
                return damage("truncated frame payload");
            }
            if crc32fast::hash(&payload) != word(4) {
                return damage("frame checksum mismatch");
            }
            let mut rest = payload.as_slice();
            while !rest.is_empty() {
                match postcard::take_from_bytes(rest) {
                    Ok((event, after)) => {
                        take(event);
                        rest = after;
                    }
                    Err(_) => return damage("frame payload is not a sequence of events"),
                }
            }
        }
    }
}
