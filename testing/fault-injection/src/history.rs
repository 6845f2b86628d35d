//! What happened in a run, as each side saw it, on one monotonic clock; and how it is kept on disk.
//!
//! The format is in `docs/fault-injection.md`. A file begins with [`MAGIC`] and the version; frames follow, each its length, the
//! CRC-32 of its payload, and the payload: events in `postcard`. A reader never trusts a length beyond [`FRAME_MOST`].

use crate::deployment::{DrawnFault, Nanos, Quota};
use crate::endpoint::End;
use crate::error::RecordingError;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufReader, Read, Write};
use std::path::Path;

/// The first bytes of a history.
pub const MAGIC: [u8; 8] = *b"MDLABHIS";
/// The version of the format.
pub const VERSION: u16 = 4;
/// The longest payload that a reader takes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Events are gathered to about this many bytes before they are written.
const FRAME_TARGET_BYTES: usize = 32 << 10;

/// An id that a client gave its request.
pub type Trace = u64;

/// What the judge must know beforehand.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Setup {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// The file's text.
    pub text: String,
    /// The latency target in nanoseconds.
    pub latency_target: Nanos,
    /// The deadline in nanoseconds.
    pub deadline: Nanos,
    /// The duration of the load in nanoseconds.
    pub duration: Nanos,
    /// Number of gateways.
    pub gateways: u16,
    /// The plans.
    pub quotas: Vec<Quota>,
    /// The plan of each customer.
    pub plans: Vec<u8>,
    /// Number of processes of the list service.
    pub list_processes: u16,
    /// Number of coordinators.
    pub coordinators: u16,
    /// Gateways and pay servers are dealt over them in turn.
    pub zones: Vec<String>,
    /// Number of controllers.
    pub controllers: u16,
    /// Firms' shares are decided in common; when their demand moves.
    pub shares: bool,
    /// When demand moves, if it does.
    pub demand_shift_at: Option<Nanos>,
    /// Books are decided in common, and cells turn older epochs away.
    pub shard_map: bool,
    /// Whether cells reject older epochs.
    pub fencing: bool,
    /// The cell of each pay server, and the number under which books know each customer.
    pub cells: Vec<u16>,
    /// The firms, by customer.
    pub firms: Vec<u64>,
    /// The faults with their victims.
    pub faults: Vec<DrawnFault>,
    /// The load begins then; faults are counted from it.
    pub load_from: Nanos,
    /// The wall clock at the history's zero, in Unix time in us: lines of processes tell theirs. Nothing is judged by it.
    pub unix_us: u64,
}

/// How a try ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// 200, with a pay server's body; its attempt, if that can be read.
    Served {
        /// Number of the attempt, if it can be read.
        attempt: Option<u64>,
    },
    /// 429 or 503.
    Refused,
    /// Any other answer.
    Failed,
    /// Told that nobody knows whether it ran.
    Unknown,
    /// No connection came up, or nothing of it was taken.
    Unreachable,
    /// The connection ended after the gateway had taken it; `first`: it was the connection's first request.
    Reset {
        /// Whether it was the connection's first request.
        first: bool,
    },
    /// Nothing had come when the client's time was over.
    TimedOut,
}

/// How an attempt ended at its pay server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// A response of a pay server.
    Served,
    /// An error.
    Error,
    /// It was dropped before it ran.
    NeverRan,
}

/// What a process does to the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessChange {
    /// It was started.
    Started,
    /// It serves.
    Ready,
    /// The lab ended or killed it.
    Ended,
    /// It ended by itself.
    Crashed,
    /// It was suspended.
    Stopped,
    /// It was resumed.
    Continued,
}

/// State of a server in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It serves.
    Serving,
    /// It drains.
    Draining,
    /// It is gone.
    Gone,
}

/// State of a zone in a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneState {
    /// It serves.
    Serving,
    /// It may have failed.
    Suspect,
    /// It has failed over.
    Out,
    /// It is being taken back.
    Returning,
    /// It is held out by an operator.
    HeldOut,
}

/// How far a book's move is, in a map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ShardStep {
    /// It is not moving.
    Stable,
    /// The migration is planned.
    Planned,
    /// The old cell is being fenced.
    Fencing,
    /// The old cell has no writes under way.
    Drained,
    /// The new cell has everything.
    Copied,
}

/// A book in a map; `to`: where it goes, or where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The first firm of the shard.
    pub first: u64,
    /// Number of the cell.
    pub cell: u16,
    /// The epoch.
    pub epoch: u64,
    /// How far the shard's migration is.
    pub step: ShardStep,
    /// The other end, or where it goes.
    pub to: u16,
}

/// Decisions that are made in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DecisionKind {
    /// Zones.
    Zones,
    /// Fair shares.
    Shares,
    /// Shards.
    Books,
}

/// What a client of the coordination service was told of a call on a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallResult {
    /// The value was read.
    Value {
        /// The value.
        value: Option<u64>,
        /// The revision.
        revision: u64,
    },
    /// The value was written.
    Written {
        /// The revision.
        revision: u64,
    },
    /// The value is at another revision.
    Conflict {
        /// The revision.
        revision: u64,
    },
    /// Nothing was done, for another reason.
    NoEffect,
    /// Nobody knows what came of it.
    Unknown,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The setup of the run.
    Setup(Box<Setup>),
    /// A client wants something; `late` by the lab's own doing.
    RequestStarted {
        /// Number of the request.
        request: u32,
        /// Number of the customer.
        customer: u32,
        /// Class of the request.
        class: u8,
        /// How late, in nanoseconds.
        late: Nanos,
    },
    /// A try leaves; the client waits so long. `back`: the same id again after its gateway was lost.
    TryStarted {
        /// Number of the request.
        request: u32,
        /// The id of the try.
        trace: Trace,
        /// Number of the gateway.
        gateway: u16,
        /// How long the client waits, in nanoseconds.
        timeout: Nanos,
        /// Whether the id comes again after its gateway was lost.
        reuses_id: bool,
    },
    /// A try has ended for its client.
    TryEnded {
        /// The id of the try.
        trace: Trace,
        /// How it ended.
        outcome: Outcome,
    },
    /// What came of a try after its client's time was over: an answer at last, or none.
    TryEndedLate {
        /// The id of the try.
        trace: Trace,
        /// Whether there was an answer.
        answered: bool,
    },
    /// A request has ended, with all its tries.
    RequestEnded {
        /// Number of the request.
        request: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// A connection from one end to another has come up.
    Opened {
        /// Number of the connection.
        connection: u64,
        /// The end that opened it.
        from: End,
        /// The other end, or where it goes.
        to: End,
    },
    /// Its far side, the one that opened it, has closed it or is gone.
    Closed {
        /// Number of the connection.
        connection: u64,
    },
    /// A pay server has all of an attempt.
    Arrived {
        /// Number of the attempt.
        attempt: u64,
        /// The id of the try.
        trace: Trace,
        /// Number of the pay server.
        server: u16,
        /// Number of the connection.
        connection: u64,
        /// Number of the gateway.
        gateway: u16,
    },
    /// It begins to run.
    Ran {
        /// Number of the attempt.
        attempt: u64,
    },
    /// An attempt has ended at its pay server.
    Answered {
        /// Number of the attempt.
        attempt: u64,
        /// How it ended.
        answer: Answer,
    },
    /// A gateway has probed a pay server.
    Probed {
        /// Number of the pay server.
        server: u16,
        /// Number of the gateway.
        gateway: u16,
    },
    /// A cold pay server was sent too much.
    OverloadCrash {
        /// Number of the pay server.
        server: u16,
    },
    /// A gateway asks for the list.
    ListRequested {
        /// Number of the gateway.
        gateway: u16,
        /// The version, or revision, that the caller has.
        since: Option<u64>,
    },
    /// And is told it; servers by number.
    ListReceived {
        /// Number of the gateway.
        gateway: u16,
        /// Number of the process that told it.
        list: u16,
        /// The store that the version is of.
        store: u64,
        /// The epoch.
        epoch: u64,
        /// The version.
        version: u64,
        /// Whether it is complete.
        full: bool,
        /// The servers by number, and their states.
        servers: Vec<(u16, ServerState)>,
    },
    /// The list service acknowledged a registration.
    Registered {
        /// Number of the pay server.
        server: u16,
        /// Number of the process that told it.
        list: u16,
    },
    /// A pay server's registration was renewed.
    Renewed {
        /// Number of the pay server.
        server: u16,
    },
    /// A gateway has called the counter.
    CounterCalled {
        /// Number of the gateway.
        gateway: u16,
        /// Whether it was rejected as too much.
        busy: bool,
    },
    /// A candidate was told that it has a lock, which it asked for at this instant.
    Granted {
        /// Number of the candidate.
        candidate: u16,
        /// Number of the lock.
        lock: u16,
        /// The fencing token.
        token: u64,
        /// When it was requested.
        asked: Nanos,
    },
    /// It has shown, by its own clock, that it still holds it, and is about to act.
    ActionStarted {
        /// Number of the candidate.
        candidate: u16,
        /// Number of the lock.
        lock: u16,
        /// The fencing token.
        token: u64,
    },
    /// Its effect has come to the place that takes it.
    Effect {
        /// Number of the candidate.
        candidate: u16,
        /// Number of the lock.
        lock: u16,
        /// The fencing token.
        token: u64,
        /// Whether it was admitted.
        admitted: bool,
    },
    /// A client calls on a register: reads it, or puts a value there, at a revision or at any.
    CallStarted {
        /// Number of the client.
        client: u16,
        /// Number of the call.
        call: u64,
        /// Number of the register.
        register: u16,
        /// The value, and the revision that it expects; `None` for a read.
        put: Option<(u64, Option<u64>)>,
    },
    /// A call on a register has returned.
    CallReturned {
        /// Number of the call.
        call: u64,
        /// The result.
        result: CallResult,
    },
    /// A watcher was told the changes behind a revision up to another: which revision, register and value. Without `since` it
    /// begins there.
    Watched {
        /// Number of the watcher.
        watcher: u16,
        /// The version, or revision, that the caller has.
        since: Option<u64>,
        /// The revision up to which changes were reported.
        upto: u64,
        /// The changes: revision, register and value.
        changes: Vec<(u64, u16, u64)>,
    },
    /// A process or stand-in was started, or has ended.
    ProcessChanged {
        /// The process or stand-in.
        end: End,
        /// What happened to it.
        change: ProcessChange,
    },
    /// A fault begins.
    FaultBegan {
        /// Number of the fault.
        fault: u16,
    },
    /// A fault is over.
    FaultEnded {
        /// Number of the fault.
        fault: u16,
    },
    /// The lab's own clock was late by so much: nothing that it saw meanwhile is exact.
    Stalled {
        /// How late, in nanoseconds.
        late: Nanos,
    },
    /// Processor time that the lab's own process took in the second before.
    HarnessCpu {
        /// Processor time in nanoseconds.
        cpu: Nanos,
    },
    /// Nothing follows.
    Finished {
        /// Processor time of the harness in nanoseconds.
        harness_cpu: Nanos,
        /// Processor time of all other processes in nanoseconds.
        fleet_cpu: Nanos,
    },
    /// A decision on zones was published: each zone's state, and the units a second that it bears.
    ZonesDecided {
        /// The fencing token.
        token: u64,
        /// The revision.
        revision: u64,
        /// The zones.
        zones: Vec<(ZoneState, f64)>,
    },
    /// A decision on shares was published: the level, and what all may send on together, in units a second.
    SharesDecided {
        /// The fencing token.
        token: u64,
        /// The revision.
        revision: u64,
        /// The level of service.
        level: f64,
        /// The capacity in units a second.
        capacity: f64,
    },
    /// A book map was published.
    ShardMapDecided {
        /// The fencing token.
        token: u64,
        /// The revision.
        revision: u64,
        /// The shards.
        shards: Vec<ShardRecord>,
    },
    /// A write came to a cell under an epoch (0: it named none), and was admitted or turned away.
    ShardWrite {
        /// Number of the attempt.
        attempt: u64,
        /// Number of the cell.
        cell: u16,
        /// The firm.
        firm: u64,
        /// The epoch.
        epoch: u64,
        /// Whether it was admitted.
        admitted: bool,
    },
    /// At the end: which cells have what an attempt wrote.
    WriteLocations {
        /// The id of the try.
        trace: Trace,
        /// Numbers of the cells.
        cells: Vec<u16>,
    },
    /// A gateway says that it goes by a decision from now on.
    DecisionApplied {
        /// Number of the gateway.
        gateway: u16,
        /// The kind of the decision.
        kind: DecisionKind,
        /// The fencing token.
        token: u64,
        /// The revision.
        revision: u64,
    },
    /// A steward's word came too late and was refused.
    DecisionRefused {
        /// Number of the controller.
        controller: u16,
    },
    /// The platform's agents hold this of a server: it counts as told to every gateway, asked for or not.
    AgentStateChanged {
        /// Number of the pay server.
        server: u16,
        /// The state.
        state: ServerState,
    },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedEvent {
    /// When it happened, in nanoseconds since the start.
    pub at: Nanos,
    /// What happened.
    pub event: Event,
}

/// Writes events to a file as they come.
pub struct Writer<W: Write> {
    out: W,
    pending: Vec<u8>,
}

impl<W: Write> Writer<W> {
    /// Returns a writer that has written the head.
    ///
    /// # Errors
    ///
    /// It cannot be written.
    pub fn new(mut out: W) -> io::Result<Writer<W>> {
        out.write_all(&MAGIC)?;
        out.write_all(&VERSION.to_le_bytes())?;
        Ok(Writer { out, pending: Vec::with_capacity(2 * FRAME_TARGET_BYTES) })
    }

    /// Adds an event.
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
    /// Offset in the file.
    pub byte: u64,
    /// What is wrong.
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
    /// Returns a reader that has read the head.
    ///
    /// # Errors
    ///
    /// It is none, or of another version.
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
    pub fn each(&mut self, mut take: impl FnMut(TimedEvent)) -> Result<(), Damage> {
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
            if length == 0 || length > MAX_FRAME_BYTES {
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
