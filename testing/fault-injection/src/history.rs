//! What happened in a run, as each side saw it, on one monotonic clock; and how it is kept on disk.
//!
//! The format is in `docs/fault-injection.md`. A file begins with [`MAGIC`] and the version; frames follow, each its length, the
//! CRC-32 of its payload, and the payload: events in `postcard`. A reader never trusts a length beyond [`FRAME_MOST`].

use crate::deployment::{Drawn, Nanos, Quota};
use crate::endpoint::End;
use crate::error::RecordingError;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufReader, Read, Write};
use std::path::Path;

pub const MAGIC: [u8; 8] = *b"MDLABHIS";
pub const VERSION: u16 = 4;
/// The longest payload that a reader takes.
pub const FRAME_MOST: usize = 4 << 20;
/// Events are gathered to about this many bytes before they are written.
const FRAME_USUAL: usize = 32 << 10;

/// An id that a client gave its request.
pub type Trace = u64;

/// What the judge must know beforehand.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Setup {
    pub scenario: String,
    pub seed: u64,
    /// The file's text.
    pub text: String,
    pub aim: Nanos,
    pub deadline: Nanos,
    pub duration: Nanos,
    pub gateways: u16,
    pub quotas: Vec<Quota>,
    /// The plan of each customer.
    pub plans: Vec<u8>,
    pub list_processes: u16,
    pub coordinators: u16,
    /// Gateways and pay servers are dealt over them in turn.
    pub zones: Vec<String>,
    pub stewards: u16,
    /// Firms' shares are decided in common; when their demand moves.
    pub shares: bool,
    pub shift: Option<Nanos>,
    /// Books are decided in common, and cells turn older epochs away.
    pub books: bool,
    pub fencing: bool,
    /// The cell of each pay server, and the number under which books know each customer.
    pub cells: Vec<u16>,
    pub firms: Vec<u64>,
    pub faults: Vec<Drawn>,
    /// The load begins then; faults are counted from it.
    pub load_from: Nanos,
    /// The wall clock at the history's zero, in Unix time in us: lines of processes tell theirs. Nothing is judged by it.
    pub unix_us: u64,
}

/// How a try ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// 200, with a pay server's body; its attempt, if that can be read.
    Served { attempt: Option<u64> },
    /// 429 or 503.
    Refused,
    /// Any other answer.
    Failed,
    /// Told that nobody knows whether it ran.
    Unknown,
    /// No connection came up, or nothing of it was taken.
    Unreachable,
    /// The connection ended after the gateway had taken it; `first`: it was the connection's first request.
    Reset { first: bool },
    /// Nothing had come when the client's time was over.
    TimedOut,
}

/// How an attempt ended at its pay server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Served,
    Error,
    NeverRan,
}

/// What a process does to the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Life {
    Started,
    /// It serves.
    Ready,
    /// The lab ended or killed it.
    Ended,
    /// It ended by itself.
    Crashed,
    Stopped,
    Continued,
}

/// State of a server in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Told {
    Serving,
    Draining,
    Gone,
}

/// State of a zone in a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneState {
    Serving,
    Suspect,
    Out,
    Returning,
    HeldOut,
}

/// How far a book's move is, in a map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BookStep {
    Stands,
    Planned,
    Fencing,
    Drained,
    Copied,
}

/// A book in a map; `to`: where it goes, or where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BookSeen {
    pub first: u64,
    pub cell: u16,
    pub epoch: u64,
    pub step: BookStep,
    pub to: u16,
}

/// Decisions that are made in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    Zones,
    Shares,
    Books,
}

/// What a client of the coordination service was told of a call on a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Returned {
    Value {
        value: Option<u64>,
        revision: u64,
    },
    At {
        revision: u64,
    },
    Conflict {
        revision: u64,
    },
    /// Nothing was done, for another reason.
    Nothing,
    /// Nobody knows what came of it.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    Setup(Box<Setup>),
    /// A client wants something; `late` by the lab's own doing.
    Asked {
        ask: u32,
        customer: u32,
        class: u8,
        late: Nanos,
    },
    /// A try leaves; the client waits so long. `back`: the same id again after its gateway was lost.
    Tried {
        ask: u32,
        trace: Trace,
        gateway: u16,
        wait: Nanos,
        back: bool,
    },
    Ended {
        trace: Trace,
        outcome: Outcome,
    },
    /// What came of a try after its client's time was over: an answer at last, or none.
    Afterwards {
        trace: Trace,
        answered: bool,
    },
    AskEnded {
        ask: u32,
        outcome: Outcome,
    },
    /// A connection from one end to another has come up.
    Opened {
        connection: u64,
        from: End,
        to: End,
    },
    /// Its far side, the one that opened it, has closed it or is gone.
    Closed {
        connection: u64,
    },
    /// A pay server has all of an attempt.
    Arrived {
        attempt: u64,
        trace: Trace,
        server: u16,
        connection: u64,
        gateway: u16,
    },
    /// It begins to run.
    Ran {
        attempt: u64,
    },
    Answered {
        attempt: u64,
        answer: Answer,
    },
    Probed {
        server: u16,
        gateway: u16,
    },
    /// A cold pay server was sent too much.
    Fell {
        server: u16,
    },
    /// A gateway asks for the list.
    ListAsked {
        gateway: u16,
        since: Option<u64>,
    },
    /// And is told it; servers by number.
    ListTold {
        gateway: u16,
        list: u16,
        store: u64,
        epoch: u64,
        version: u64,
        full: bool,
        servers: Vec<(u16, Told)>,
    },
    /// The list service acknowledged a registration.
    Registered {
        server: u16,
        list: u16,
    },
    Renewed {
        server: u16,
    },
    Counted {
        gateway: u16,
        busy: bool,
    },
    /// A candidate was told that it has a lock, which it asked for at this instant.
    Granted {
        candidate: u16,
        lock: u16,
        token: u64,
        asked: Nanos,
    },
    /// It has shown, by its own clock, that it still holds it, and is about to act.
    Acts {
        candidate: u16,
        lock: u16,
        token: u64,
    },
    /// Its effect has come to the place that takes it.
    Effect {
        candidate: u16,
        lock: u16,
        token: u64,
        admitted: bool,
    },
    /// A client calls on a register: reads it, or puts a value there, at a revision or at any.
    Called {
        client: u16,
        call: u64,
        register: u16,
        put: Option<(u64, Option<u64>)>,
    },
    Returned {
        call: u64,
        returned: Returned,
    },
    /// A watcher was told the changes behind a revision up to another: which revision, register and value. Without `since` it
    /// begins there.
    Watched {
        watcher: u16,
        since: Option<u64>,
        upto: u64,
        changes: Vec<(u64, u16, u64)>,
    },
    Lived {
        end: End,
        life: Life,
    },
    FaultBegan {
        fault: u16,
    },
    FaultOver {
        fault: u16,
    },
    /// The lab's own clock was late by so much: nothing that it saw meanwhile is exact.
    Stalled {
        late: Nanos,
    },
    /// Processor time that the lab's own process took in the second before.
    Busy {
        cpu: Nanos,
    },
    /// Nothing follows.
    Finished {
        lab_cpu: Nanos,
        fleet_cpu: Nanos,
    },
    /// A decision on zones was published: each zone's state, and the units a second that it bears.
    Decided {
        token: u64,
        revision: u64,
        zones: Vec<(ZoneState, f64)>,
    },
    /// A decision on shares was published: the level, and what all may send on together, in units a second.
    SharesDecided {
        token: u64,
        revision: u64,
        level: f64,
        capacity: f64,
    },
    /// A book map was published.
    BooksDecided {
        token: u64,
        revision: u64,
        books: Vec<BookSeen>,
    },
    /// A write came to a cell under an epoch (0: it named none), and was admitted or turned away.
    BookWrite {
        attempt: u64,
        cell: u16,
        firm: u64,
        epoch: u64,
        admitted: bool,
    },
    /// At the end: which cells have what an attempt wrote.
    CellsHold {
        trace: Trace,
        cells: Vec<u16>,
    },
    /// A gateway says that it goes by a decision from now on.
    GoesBy {
        gateway: u16,
        duty: Duty,
        token: u64,
        revision: u64,
    },
    /// A steward's word came too late and was refused.
    DecisionRefused {
        steward: u16,
    },
    /// The platform's agents hold this of a server: it counts as told to every gateway, asked for or not.
    AgentsHold {
        server: u16,
        told: Told,
    },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct At {
    pub at: Nanos,
    pub event: Event,
}

/// Writes events to a file as they come.
pub struct Writer<W: Write> {
    out: W,
    pending: Vec<u8>,
}

impl<W: Write> Writer<W> {
    pub fn new(mut out: W) -> io::Result<Writer<W>> {
        out.write_all(&MAGIC)?;
        out.write_all(&VERSION.to_le_bytes())?;
        Ok(Writer { out, pending: Vec::with_capacity(2 * FRAME_USUAL) })
    }

    pub fn add(&mut self, event: &At) -> io::Result<()> {
        let pending = std::mem::take(&mut self.pending);
        self.pending = postcard::to_extend(event, pending).map_err(io::Error::other)?;
        match self.pending.len() >= FRAME_USUAL {
            true => self.flush(),
            false => Ok(()),
        }
    }

    /// Writes what was gathered.
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
    pub byte: u64,
    pub what: &'static str,
}

impl std::fmt::Display for Damage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "byte {}: {}", self.byte, self.what)
    }
}

/// Reads a history, event by event.
pub struct Reader<R: Read> {
    input: R,
    byte: u64,
}

impl Reader<BufReader<File>> {
    /// Opens a history.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or does not begin like a history.
    pub fn open(path: &Path) -> Result<Self, RecordingError> {
        let file = File::open(path).map_err(|error| RecordingError::File(path.to_owned(), error))?;
        let reader = Reader::new(BufReader::with_capacity(1 << 20, file));
        reader.map_err(|damage| RecordingError::Damaged(path.to_owned(), damage))
    }
}

impl<R: Read> Reader<R> {
    pub fn new(input: R) -> Result<Reader<R>, Damage> {
        let mut reader = Reader { input, byte: 0 };
        let mut head = [0; 10];
        if reader.fill(&mut head)? != head.len() || head[..8] != MAGIC {
            return Err(Damage { byte: 0, what: "no history begins like this" });
        }
        match u16::from_le_bytes([head[8], head[9]]) {
            VERSION => Ok(reader),
            _ => Err(Damage { byte: 8, what: "a version that this program does not read" }),
        }
    }

    /// As many bytes as there are.
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

    /// Hands each event to `take`, to the end.
    pub fn each(&mut self, mut take: impl FnMut(At)) -> Result<(), Damage> {
        let mut payload = Vec::new();
        loop {
            let begin = self.byte;
            let damage = |what| Err(Damage { byte: begin, what });
            let mut head = [0; 8];
            match self.fill(&mut head)? {
                0 => return Ok(()),
                8 => {}
                _ => return damage("a frame's head is cut off"),
            }
            let word = |i: usize| u32::from_le_bytes([head[i], head[i + 1], head[i + 2], head[i + 3]]);
            let length = word(0) as usize;
            if length == 0 || length > FRAME_MOST {
                return damage("a frame of an impossible length");
            }
            payload.resize(length, 0);
            if self.fill(&mut payload)? != length {
                return damage("a frame is cut off");
            }
            if crc32fast::hash(&payload) != word(4) {
                return damage("a frame's checksum is wrong");
            }
            let mut rest = payload.as_slice();
            while !rest.is_empty() {
                match postcard::take_from_bytes(rest) {
                    Ok((event, after)) => {
                        take(event);
                        rest = after;
                    }
                    Err(_) => return damage("a frame holds what is no event"),
                }
            }
        }
    }
}
