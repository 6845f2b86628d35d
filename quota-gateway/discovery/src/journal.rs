//! The store's changes on disk: an append-only log with checksums, and snapshots that bound its length.
//!
//! A generation is a snapshot `snap.N` and the log `log.N` of the changes since. A change is durable in the
//! log before it is acknowledged or sent to readers. A torn frame at the end of the log, left by a write that
//! a crash interrupted, was therefore never acknowledged, and is truncated. Any other damage could hide
//! acknowledged changes, so [`Journal::open`] fails.
//!
//! - `storage`: the file operations.
//! - `frame`: lengths and checksums.

mod frame;
mod storage;

pub use storage::{Folder, Storage};

use crate::store::{Record, Snapshot};
use frame::{encode_frame, first_frame, trim_unwritten, Frame, FRAME_HEADER_BYTES};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::error::Error;
use std::{fmt, io};

const LOG_MAGIC: &[u8; 8] = b"MDDLOG01";
const SNAPSHOT_MAGIC: &[u8; 8] = b"MDDSNP01";
/// The maximum length of the payload of a log frame, in bytes.
const MAX_LOG_PAYLOAD_BYTES: usize = 1 << 20;
/// The log length, in bytes, beyond which a snapshot is due.
pub const MAX_LOG_BYTES: u64 = 4 << 20;

/// The reason why a journal cannot be opened.
#[derive(Debug)]
pub enum JournalError {
    /// A file operation failed.
    Io(io::Error),
    /// The contents of a file are damaged or incomplete.
    Damaged {
        /// The name of the file.
        file: String,
        /// The offset of the damage in bytes.
        offset: u64,
        /// A description of the damage.
        reason: &'static str,
    },
}

impl From<io::Error> for JournalError {
    fn from(e: io::Error) -> JournalError {
        JournalError::Io(e)
    }
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::Io(e) => write!(f, "{e}"),
            JournalError::Damaged { file, offset, reason } => {
                write!(f, "{file} is damaged at byte {offset}: {reason}")
            }
        }
    }
}

impl Error for JournalError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            JournalError::Io(e) => Some(e),
            JournalError::Damaged { .. } => None,
        }
    }
}

/// The contents of a journal when it was opened.
pub struct Recovered {
    /// The snapshot of the newest generation.
    pub snapshot: Snapshot,
    /// The changes since the snapshot, in order.
    pub records: Vec<Record>,
    /// The number of bytes of a torn write that were truncated from the log.
    pub torn_bytes: u64,
}

/// The log of the newest generation, open for appending.
pub struct Journal<S> {
    storage: S,
    generation: u64,
    /// The length of the durable part of the log, in bytes.
    log_bytes: u64,
    /// Whether a failure has left the state on disk unknown. Appends then fail until a compaction succeeds.
    is_broken: bool,
}

fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, &'static str> {
    serde_json::from_slice(payload).map_err(|_| "a value that this version cannot parse")
}

fn encode<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    Ok(encode_frame(&serde_json::to_vec(value)?))
}

/// Returns the generations of the files of a kind, `snap` or `log`.
fn generations(names: &[String], kind: &str) -> Vec<u64> {
    let number = |name: &String| name.strip_prefix(kind)?.strip_prefix('.')?.parse().ok();
    names.iter().filter_map(number).collect()
}

impl<S: Storage> Journal<S> {
    /// Opens the newest generation, or creates the first one in empty storage.
    ///
    /// # Errors
    ///
    /// Fails if a file operation fails or a file is damaged. A torn write at the end of the log is not
    /// damage.
    pub fn open(storage: S) -> Result<(Journal<S>, Recovered), JournalError> {
        let names = storage.file_names()?;
        let (snapshots, logs) = (generations(&names, "snap"), generations(&names, "log"));
        let newest = snapshots.iter().copied().max();
        let mut journal =
            Journal { storage, generation: newest.unwrap_or(0), log_bytes: 0, is_broken: false };
        let Some(generation) = newest else {
            if let Some(log) = logs.first() {
                return Err(JournalError::Damaged {
                    file: format!("log.{log}"),
                    offset: 0,
                    reason: "its snapshot is missing",
                });
            }
            journal.compact(&Snapshot::default())?;
            let empty = Recovered { snapshot: Snapshot::default(), records: Vec::new(), torn_bytes: 0 };
            return Ok((journal, empty));
        };
        let snapshot = journal.read_snapshot()?;
        let (records, torn_bytes) =
            if logs.contains(&generation) { journal.recover_log()? } else { (Vec::new(), 0) };
        if journal.log_bytes == 0 {
            // A crash occurred after the snapshot was made and before its log was.
            journal.begin_log()?;
        }
        journal.remove_old_files()?;
        Ok((journal, Recovered { snapshot, records, torn_bytes }))
    }

    fn file_name(&self, kind: &str) -> String {
        format!("{kind}.{}", self.generation)
    }

    fn read_snapshot(&self) -> Result<Snapshot, JournalError> {
        let file = self.file_name("snap");
        let bytes = self.storage.read(&file)?;
        let damaged = |offset, reason| JournalError::Damaged { file: file.clone(), offset, reason };
        let frames = bytes
            .strip_prefix(SNAPSHOT_MAGIC)
            .ok_or_else(|| damaged(0, "not a snapshot of this format version"))?;
        // A snapshot gets its name only once all of it is durable, so it cannot be torn.
        match first_frame(frames, frames.len()) {
            Frame::Complete(payload) if payload.len() + FRAME_HEADER_BYTES == frames.len() => {
                decode(payload).map_err(|reason| damaged(8, reason))
            }
            Frame::Damaged(reason) => Err(damaged(8, reason)),
            _ => Err(damaged(8, "truncated")),
        }
    }

    /// Reads the log and truncates a torn write. Returns the records and the number of truncated bytes.
    fn recover_log(&mut self) -> Result<(Vec<Record>, u64), JournalError> {
        let file = self.file_name("log");
        let bytes = self.storage.read(&file)?;
        let mut records = Vec::new();
        let mut offset = 0;
        if bytes.starts_with(LOG_MAGIC) {
            offset = LOG_MAGIC.len();
            loop {
                let damaged =
                    |reason| JournalError::Damaged { file: file.clone(), offset: offset as u64, reason };
                match first_frame(&bytes[offset..], MAX_LOG_PAYLOAD_BYTES) {
                    Frame::Complete(payload) => {
                        records.extend(decode::<Vec<Record>>(payload).map_err(damaged)?);
                        offset += FRAME_HEADER_BYTES + payload.len();
                    }
                    Frame::End | Frame::Torn => break,
                    Frame::Damaged(reason) => return Err(damaged(reason)),
                }
            }
        } else if !LOG_MAGIC.starts_with(trim_unwritten(&bytes)) {
            return Err(JournalError::Damaged {
                file,
                offset: 0,
                reason: "not a log of this format version",
            });
        }
        let torn_bytes = (bytes.len() - offset) as u64;
        if torn_bytes > 0 {
            self.storage.truncate(&file, offset as u64)?;
            self.storage.sync(&file)?;
        }
        self.log_bytes = offset as u64;
        Ok((records, torn_bytes))
    }

    fn begin_log(&mut self) -> io::Result<()> {
        let file = self.file_name("log");
        self.storage.append(&file, LOG_MAGIC)?;
        self.storage.sync(&file)?;
        self.storage.sync_folder()?;
        self.log_bytes = LOG_MAGIC.len() as u64;
        Ok(())
    }

    /// Removes the files of earlier generations and unfinished snapshots.
    fn remove_old_files(&mut self) -> io::Result<()> {
        let current = [self.file_name("snap"), self.file_name("log"), "lock".to_owned()];
        for name in self.storage.file_names()?.into_iter().filter(|name| !current.contains(name)) {
            if name.starts_with("snap.") || name.starts_with("log.") {
                self.storage.remove(&name)?;
            }
        }
        Ok(())
    }

    /// Appends changes to the log and makes them durable, all of them or none.
    ///
    /// # Errors
    ///
    /// After an error, the caller must apply none of the changes. If the error leaves the state on disk
    /// unknown, all later calls fail as well, until a [`compact`](Journal::compact) succeeds or the journal
    /// is opened again.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        if self.is_broken {
            return Err(io::Error::other("an earlier write failed and left the state on disk unknown"));
        }
        let (file, frame) = (self.file_name("log"), encode(&records)?);
        if let Err(e) = self.storage.append(&file, &frame) {
            // The file may end with a part of the frame. Frames appended after it could not be read, so the
            // part is removed.
            let undone = self.storage.truncate(&file, self.log_bytes).and_then(|()| self.storage.sync(&file));
            self.is_broken = undone.is_err();
            return Err(e);
        }
        if let Err(e) = self.storage.sync(&file) {
            // After a failed sync, the kernel may drop the unwritten pages and report success for the next
            // sync.
            self.is_broken = true;
            return Err(e);
        }
        self.log_bytes += frame.len() as u64;
        Ok(())
    }

    /// Returns whether the log is so long that a snapshot is due.
    pub fn is_compaction_due(&self) -> bool {
        self.log_bytes > MAX_LOG_BYTES
    }

    /// Returns the length of the log in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Begins a new generation with a snapshot.
    ///
    /// # Errors
    ///
    /// If an error occurs before the snapshot is renamed to its final name, the former generation stays in
    /// use. After a later error, appends fail, since the next start may read either generation.
    pub fn compact(&mut self, snapshot: &Snapshot) -> io::Result<()> {
        let generation = self.generation + 1;
        let (temporary, name) = (format!("snap.{generation}.new"), format!("snap.{generation}"));
        let mut bytes = SNAPSHOT_MAGIC.to_vec();
        bytes.extend(encode(snapshot)?);
        // An earlier attempt may have left this file, and the snapshot would be appended to its contents.
        if self.storage.file_names()?.contains(&temporary) {
            self.storage.remove(&temporary)?;
        }
        self.storage.append(&temporary, &bytes)?;
        self.storage.sync(&temporary)?;
        // From here on, the next start may read the new generation, even if a later step fails.
        self.is_broken = true;
        self.storage.rename(&temporary, &name)?;
        self.storage.sync_folder()?;
        self.generation = generation;
        self.begin_log()?;
        self.is_broken = false;
        // An error is ignored: old files do no harm, and the next start removes them.
        let _ = self.remove_old_files();
        Ok(())
    }
}
