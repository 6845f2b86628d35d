//! A log of records on disk, in segments. Every segment begins with a snapshot of the state that the records before it
//! led to, so the newest whole segment alone gives the state back.
//!
//! A record counts as durable once [`Log::append`] has returned: it is written and synced. After a loss of power the last
//! record may be torn; [`Log::open`] stops reading at the first record whose checksum does not match. A new segment is
//! written and synced, with its folder, before older ones are removed; while the newest has no whole snapshot the one
//! before it is used.
//!
//! Format of a record: length of the payload (u32, little endian), CRC-32 of the payload, the payload. A segment begins
//! with [`MAGIC`], which holds the version of the format.
#![forbid(unsafe_code)]

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// First bytes of a segment; the last one is the version of the format.
pub const MAGIC: [u8; 8] = *b"mcroft\x00\x01";
/// Bytes in front of a record's payload.
const HEADER: usize = 8;
/// The longest payload of a record, in bytes. Guards against a length that was torn or damaged.
const PAYLOAD_MOST: usize = 512 << 20;

/// What [`Log::open`] found on the disk.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The snapshot at the start of the newest whole segment; `None` where there is none.
    pub snapshot: Option<Vec<u8>>,
    /// The records behind it, in order.
    pub records: Vec<Vec<u8>>,
    /// Bytes behind the last whole record that were passed over.
    pub passed_over: usize,
}

/// The open log of one folder.
pub struct Log {
    folder: PathBuf,
    /// Number of the segment that is written.
    number: u64,
    file: Option<File>,
    /// Bytes of that segment, and of the snapshot at its start.
    length: u64,
    snapshot_length: u64,
}

impl Log {
    /// Opens the log in `folder`, which is made if it is not there. Records can be appended after [`Log::start_segment`].
    pub fn open(folder: &Path) -> io::Result<(Log, Recovered)> {
        fs::create_dir_all(folder)?;
        let mut numbers = segment_numbers(folder)?;
        numbers.sort_unstable();
        let newest = numbers.last().copied().unwrap_or(0);
        let mut recovered = Recovered::default();
        for &number in numbers.iter().rev() {
            let bytes = read_file(&segment_path(folder, number))?;
            if let Some(found) = read_segment(&bytes) {
                recovered = found;
                break;
            }
        }
        let log =
            Log { folder: folder.to_owned(), number: newest, file: None, length: 0, snapshot_length: 0 };
        Ok((log, recovered))
    }

    /// Begins a segment with this snapshot, which is durable on return, and removes the older segments.
    pub fn start_segment(&mut self, snapshot: &[u8]) -> io::Result<()> {
        let number = self.number + 1;
        let mut bytes = Vec::with_capacity(MAGIC.len() + HEADER + snapshot.len());
        bytes.extend_from_slice(&MAGIC);
        encode_record(snapshot, &mut bytes)?;
        // The number is used up even where the write fails, so that no torn segment is written over.
        self.number = number;
        let mut file =
            OpenOptions::new().write(true).create_new(true).open(segment_path(&self.folder, number))?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        sync_folder(&self.folder)?;
        self.file = Some(file);
        self.length = bytes.len() as u64;
        self.snapshot_length = self.length;
        for older in segment_numbers(&self.folder)?.into_iter().filter(|&older| older < number) {
            // What stays is removed with the next segment; it is never read in place of this one.
            drop(fs::remove_file(segment_path(&self.folder, older)));
        }
        Ok(())
    }

    /// Writes records and syncs them. After an error nothing more can be appended until a segment is started.
    pub fn append(&mut self, records: &[&[u8]]) -> io::Result<()> {
        let mut file = self.file.take().ok_or_else(|| io::Error::other("the segment is not writable"))?;
        let mut bytes = Vec::new();
        for record in records {
            encode_record(record, &mut bytes)?;
        }
        file.write_all(&bytes)?;
        file.sync_data()?;
        self.length += bytes.len() as u64;
        self.file = Some(file);
        Ok(())
    }

    /// Whether records can be appended.
    pub fn is_writable(&self) -> bool {
        self.file.is_some()
    }

    /// Bytes of records behind the snapshot of the segment that is written.
    pub fn record_bytes(&self) -> u64 {
        self.length - self.snapshot_length
    }
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:020}.segment"))
}

fn segment_numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number: Option<u64> = name.to_str().and_then(|name| name.strip_suffix(".segment")?.parse().ok());
        numbers.extend(number);
    }
    Ok(numbers)
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn encode_record(payload: &[u8], into: &mut Vec<u8>) -> io::Result<()> {
    let length = u32::try_from(payload.len()).ok().filter(|&length| length as usize <= PAYLOAD_MOST);
    let length = length.ok_or_else(|| io::Error::other("a record is too long"))?;
    into.extend_from_slice(&length.to_le_bytes());
    into.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    into.extend_from_slice(payload);
    Ok(())
}

/// The payload of the record at the start of `bytes` and what follows it; `None` where it is torn or damaged.
fn decode_record(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    if length > PAYLOAD_MOST || length > rest.len() {
        return None;
    }
    let (payload, rest) = rest.split_at(length);
    (crc32fast::hash(payload) == u32::from_le_bytes(*checksum)).then_some((payload, rest))
}

/// What a segment holds; `None` where it has no whole snapshot.
fn read_segment(bytes: &[u8]) -> Option<Recovered> {
    let body = bytes.strip_prefix(&MAGIC)?;
    let (snapshot, mut rest) = decode_record(body)?;
    let mut recovered = Recovered { snapshot: Some(snapshot.to_vec()), ..Recovered::default() };
    while let Some((payload, behind)) = decode_record(rest) {
        recovered.records.push(payload.to_vec());
        rest = behind;
    }
    recovered.passed_over = rest.len();
    Some(recovered)
}
