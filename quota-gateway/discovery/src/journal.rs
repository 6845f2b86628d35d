//! The store's changes on a disk: an append-only log with checksums, and snapshots that let it begin anew.
//!
//! A generation is a snapshot `snap.N` and the log `log.N` of what came after it. A change is in the log, and the log on the
//! disk, before anybody is told of it. What was being written when the machine stopped is a torn tail: it was told to
//! nobody, and is cut off. Damage anywhere else is not ours to repair, and ends the start.

use crate::store::{Image, Record};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// What a journal needs of a folder. Nothing is durable before it is synced: an append not before `sync`, a file's name
/// not before `sync_names`.
pub trait Disk {
    fn names(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is made if it is not there. An error may leave a part of it behind.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A folder that no other process uses.
pub struct Folder {
    path: PathBuf,
    /// Locked as long as it is open.
    _lock: File,
}

impl Folder {
    /// Takes a folder for this process alone; `None` where another one has it.
    pub fn take(path: &Path) -> io::Result<Option<Folder>> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => Ok(Some(Folder { path: path.to_owned(), _lock: lock })),
            Err(fs::TryLockError::WouldBlock) => Ok(None),
            Err(fs::TryLockError::Error(e)) => Err(e),
        }
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().append(true).create(true).open(self.path.join(name))
    }
}

impl Disk for Folder {
    fn names(&self) -> io::Result<Vec<String>> {
        fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open(name)?.write_all(bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open(name)?.set_len(length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open(name)?.sync_all()
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }
    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

const LOG_MAGIC: &[u8; 8] = b"MDDLOG01";
const SNAPSHOT_MAGIC: &[u8; 8] = b"MDDSNP01";
/// A frame's length, that length's checksum and that of what it holds, before it.
const FRAME_HEAD: usize = 12;
/// The longest frame of a log; what says that it is longer is damage.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Bytes of a log after which it begins anew behind a snapshot.
pub const MAX_LOG_BYTES: u64 = 4 << 20;

/// Why a journal cannot be opened.
#[derive(Debug)]
pub enum Failed {
    Io(io::Error),
    /// What is there is not what was written, or not all of it.
    Damaged {
        file: String,
        offset: u64,
        why: &'static str,
    },
}

impl From<io::Error> for Failed {
    fn from(e: io::Error) -> Failed {
        Failed::Io(e)
    }
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Failed::Io(e) => write!(f, "{e}"),
            Failed::Damaged { file, offset, why } => write!(f, "{file} is damaged at byte {offset}: {why}"),
        }
    }
}

/// What a journal held when it was opened.
pub struct Recovered {
    pub image: Image,
    pub records: Vec<Record>,
    /// Bytes of a torn tail that were cut off.
    pub torn_bytes: u64,
}

pub struct Journal<D> {
    disk: D,
    generation: u64,
    /// Length of the log as far as it is durable.
    length: u64,
    /// What the disk holds is not known: nothing more is written by this process.
    broken: bool,
}

/// What is framed is JSON and does not end with this, so that a file's end that was never written shows.
const UNWRITTEN: u8 = 0;

fn frame(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX).to_le_bytes();
    let mut frame = Vec::with_capacity(FRAME_HEAD + payload.len());
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// What stands at a place in a file of frames.
enum Frame<'a> {
    Complete(&'a [u8]),
    End,
    /// Its beginning, and then the file's end or bytes that were never written.
    Torn,
    Damaged(&'static str),
}

/// Without the end that was never written: a file may have been lengthened before.
fn trim_unwritten(bytes: &[u8]) -> &[u8] {
    let end = bytes.iter().rposition(|&b| b != UNWRITTEN).map_or(0, |last| last + 1);
    &bytes[..end]
}

fn frame_at(bytes: &[u8], most: usize) -> Frame<'_> {
    if bytes.is_empty() {
        return Frame::End;
    }
    if trim_unwritten(bytes).is_empty() {
        return Frame::Torn;
    }
    let Some((head, rest)) = bytes.split_at_checked(FRAME_HEAD) else { return Frame::Torn };
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let length = word(0) as usize;
    if crc32fast::hash(&head[..4]) != word(4) || length > most {
        // Of a head that was written in part the rest of the file was not.
        let unwritten = rest.iter().all(|&b| b == UNWRITTEN) && head[FRAME_HEAD - 1] == UNWRITTEN;
        return if unwritten {
            Frame::Torn
        } else {
            Frame::Damaged("a length that does not fit its checksum")
        };
    }
    let Some(payload) = rest.get(..length) else { return Frame::Torn };
    if crc32fast::hash(payload) == word(8) {
        Frame::Complete(payload)
    } else if rest[length..].iter().chain(payload.last()).all(|&b| b == UNWRITTEN) {
        Frame::Torn
    } else {
        Frame::Damaged("a checksum that does not fit")
    }
}

fn read<T: DeserializeOwned>(payload: &[u8]) -> Result<T, &'static str> {
    serde_json::from_slice(payload).map_err(|_| "what was written by another version")
}

fn written<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    Ok(frame(&serde_json::to_vec(value)?))
}

impl<D: Disk> Journal<D> {
    /// Opens what is there, or makes the first generation of a store that is new.
    pub fn open(disk: D) -> Result<(Journal<D>, Recovered), Failed> {
        let names = disk.names()?;
        let generations = |kind: &str| -> Vec<u64> {
            let number = |name: &String| name.strip_prefix(kind)?.strip_prefix('.')?.parse().ok();
            names.iter().filter_map(number).collect()
        };
        let (snapshots, logs) = (generations("snap"), generations("log"));
        let newest = snapshots.iter().copied().max();
        let mut journal = Journal { disk, generation: newest.unwrap_or(0), length: 0, broken: false };
        let Some(generation) = newest else {
            if let Some(log) = logs.first() {
                return Err(Failed::Damaged {
                    file: format!("log.{log}"),
                    offset: 0,
                    why: "its snapshot is missing",
                });
            }
            journal.compact(&Image::default())?;
            return Ok((journal, Recovered { image: Image::default(), records: Vec::new(), torn_bytes: 0 }));
        };
        let image = journal.snapshot()?;
        let (records, cut) = if logs.contains(&generation) { journal.log()? } else { (Vec::new(), 0) };
        if journal.length == 0 {
            // Its maker stopped between the two.
            journal.begin_log()?;
        }
        journal.remove_old_files()?;
        Ok((journal, Recovered { image, records, torn_bytes: cut }))
    }

    fn file(&self, kind: &str) -> String {
        format!("{kind}.{}", self.generation)
    }

    fn snapshot(&self) -> Result<Image, Failed> {
        let file = self.file("snap");
        let bytes = self.disk.read(&file)?;
        let damaged = |offset, why| Failed::Damaged { file: file.clone(), offset, why };
        let frames =
            bytes.strip_prefix(SNAPSHOT_MAGIC).ok_or_else(|| damaged(0, "no snapshot of this version"))?;
        // It had its name only when all of it was durable, so nothing here can be torn.
        match frame_at(frames, frames.len()) {
            Frame::Complete(payload) if payload.len() + FRAME_HEAD == frames.len() => {
                read(payload).map_err(|why| damaged(8, why))
            }
            Frame::Damaged(why) => Err(damaged(8, why)),
            _ => Err(damaged(8, "not all of it is there")),
        }
    }

    /// Reads the log and cuts a torn tail off.
    fn log(&mut self) -> Result<(Vec<Record>, u64), Failed> {
        let file = self.file("log");
        let bytes = self.disk.read(&file)?;
        let mut records = Vec::new();
        let mut at = 0;
        if bytes.starts_with(LOG_MAGIC) {
            at = LOG_MAGIC.len();
            loop {
                let damaged = |why| Failed::Damaged { file: file.clone(), offset: at as u64, why };
                match frame_at(&bytes[at..], MAX_FRAME_BYTES) {
                    Frame::Complete(payload) => {
                        records.extend(read::<Vec<Record>>(payload).map_err(damaged)?);
                        at += FRAME_HEAD + payload.len();
                    }
                    Frame::End | Frame::Torn => break,
                    Frame::Damaged(why) => return Err(damaged(why)),
                }
            }
        } else if !LOG_MAGIC.starts_with(trim_unwritten(&bytes)) {
            return Err(Failed::Damaged { file, offset: 0, why: "no log of this version" });
        }
        let cut = (bytes.len() - at) as u64;
        if cut > 0 {
            self.disk.truncate(&file, at as u64)?;
            self.disk.sync(&file)?;
        }
        self.length = at as u64;
        Ok((records, cut))
    }

    fn begin_log(&mut self) -> io::Result<()> {
        let file = self.file("log");
        self.disk.append(&file, LOG_MAGIC)?;
        self.disk.sync(&file)?;
        self.disk.sync_names()?;
        self.length = LOG_MAGIC.len() as u64;
        Ok(())
    }

    /// Removes what earlier generations and unfinished snapshots left.
    fn remove_old_files(&mut self) -> io::Result<()> {
        let keep = [self.file("snap"), self.file("log"), "lock".to_owned()];
        for name in self.disk.names()?.into_iter().filter(|name| !keep.contains(name)) {
            if name.starts_with("snap.") || name.starts_with("log.") {
                self.disk.remove(&name)?;
            }
        }
        Ok(())
    }

    /// Makes changes durable, all of them or none. After an error nothing of them counts.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        if self.broken {
            return Err(io::Error::other("an earlier write failed, and what the disk holds is not known"));
        }
        let (file, frame) = (self.file("log"), written(&records)?);
        if let Err(e) = self.disk.append(&file, &frame) {
            // A part of it may be there, behind which nothing could be read again.
            let undone = self.disk.truncate(&file, self.length).and_then(|()| self.disk.sync(&file));
            self.broken = undone.is_err();
            return Err(e);
        }
        if let Err(e) = self.disk.sync(&file) {
            // Whether it is there is not known, and asking again would not tell.
            self.broken = true;
            return Err(e);
        }
        self.length += frame.len() as u64;
        Ok(())
    }

    /// Whether the log has grown so long that a snapshot is due.
    pub fn long(&self) -> bool {
        self.length > MAX_LOG_BYTES
    }

    /// Bytes of the log.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Begins a generation with this image. After an error the one before goes on.
    pub fn compact(&mut self, image: &Image) -> io::Result<()> {
        let new = self.generation + 1;
        let (temporary, name) = (format!("snap.{new}.new"), format!("snap.{new}"));
        let mut bytes = SNAPSHOT_MAGIC.to_vec();
        bytes.extend(written(image)?);
        // One that an earlier attempt has left would be appended to.
        if self.disk.names()?.contains(&temporary) {
            self.disk.remove(&temporary)?;
        }
        self.disk.append(&temporary, &bytes)?;
        self.disk.sync(&temporary)?;
        // From here on it may be the newest, whatever becomes of what follows.
        self.broken = true;
        self.disk.rename(&temporary, &name)?;
        self.disk.sync_names()?;
        self.generation = new;
        self.begin_log()?;
        self.broken = false;
        // What cannot be removed now is at the next start.
        drop(self.remove_old_files());
        Ok(())
    }
}
