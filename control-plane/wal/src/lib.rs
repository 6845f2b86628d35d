//! A log of records on disk, in segments. Every segment begins with a snapshot of the state that the records before it
//! led to, so the newest whole segment alone gives the state back.
//!
//! A record counts as durable once [`Log::append`] has returned: it is written and synced. After a loss of power the records
//! that were being written may be torn; [`Log::open`] stops reading at the first record whose checksum does not match. A new
//! segment is written and synced, with its folder, before older ones are removed; while the newest has no whole snapshot the
//! one before it is used.
//!
//! **Damage.** Every append begins with a mark that says where it stands: it is written only after everything before it was
//! synced. A record that does not check in front of a whole mark was therefore synced, and perhaps told of: this is damage,
//! not a torn end, and [`Recovered::damaged`] says so. Damage within the very last append can't be told from a torn end.
//!
//! Format of a record: length of the payload (u32, little endian), CRC-32 of the payload, the payload. A mark is a record
//! of [`MARK_LENGTH`] bytes: [`MARK`], number of the segment and offset of the mark (u64, little endian). A segment begins
//! with [`MAGIC`], which holds the version of the format.
#![forbid(unsafe_code)]

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// First bytes of a segment; the last one is the version of the format.
pub const MAGIC: [u8; 8] = *b"mcroft\x00\x02";
/// What [`MAGIC`] has in every version.
const MAGIC_PREFIX: &[u8] = b"mcroft\x00";
/// First bytes of a mark's payload.
const APPEND_MARKER: [u8; 8] = *b"mc-mark\x00";
/// Bytes of a mark's payload.
const APPEND_MARKER_BYTES: usize = 24;
/// Bytes in front of a record's payload.
const RECORD_HEADER_BYTES: usize = 8;
/// The longest payload of a record, in bytes. Guards against a length that was torn or damaged.
const MAX_PAYLOAD_BYTES: usize = 512 << 20;

/// What [`Log::open`] found on the disk.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The snapshot at the start of the newest whole segment; `None` where there is none.
    pub snapshot: Option<Vec<u8>>,
    /// The records behind it, in order.
    pub records: Vec<Vec<u8>>,
    /// Bytes behind the last whole record that were passed over.
    pub torn_bytes: usize,
    /// Whether something that was synced cannot be read: what was found is an older state than was told of.
    pub damaged: bool,
}

/// The open log of one folder.
pub struct Wal {
    directory: PathBuf,
    /// Number of the segment that is written.
    segment_number: u64,
    file: Option<File>,
    /// Bytes of that segment, and of the snapshot at its start.
    segment_bytes: u64,
    snapshot_bytes: u64,
}

impl Wal {
    /// Opens the log in `folder`, which is made if it is not there. Records can be appended after [`Log::start_segment`].
    pub fn open(folder: &Path) -> io::Result<(Wal, Recovered)> {
        fs::create_dir_all(folder)?;
        let mut numbers = segment_numbers(folder)?;
        numbers.sort_unstable();
        let newest = numbers.last().copied().unwrap_or(0);
        let mut recovered = Recovered::default();
        for &number in numbers.iter().rev() {
            let bytes = read_file(&segment_path(folder, number))?;
            if let Some(found) = read_segment(&bytes, number)? {
                recovered = Recovered { damaged: recovered.damaged || found.damaged, ..found };
                break;
            }
            // Nothing is appended to a segment before its snapshot is synced and the older segments are gone for good.
            recovered.damaged |= find_append_marker(&bytes, number).is_some();
        }
        if recovered.snapshot.is_none() {
            recovered.damaged |= newest > 1;
        }
        let log = Wal {
            directory: folder.to_owned(),
            segment_number: newest,
            file: None,
            segment_bytes: 0,
            snapshot_bytes: 0,
        };
        Ok((log, recovered))
    }

    /// Begins a segment with this snapshot, which is durable on return, and removes the older segments.
    pub fn start_segment(&mut self, snapshot: &[u8]) -> io::Result<()> {
        let number = self.segment_number + 1;
        let mut bytes = Vec::with_capacity(MAGIC.len() + RECORD_HEADER_BYTES + snapshot.len());
        bytes.extend_from_slice(&MAGIC);
        encode_record(snapshot, &mut bytes)?;
        // The number is used up even where the write fails, so that no torn segment is written over.
        self.segment_number = number;
        let mut file =
            OpenOptions::new().write(true).create_new(true).open(segment_path(&self.directory, number))?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        sync_directory(&self.directory)?;
        self.segment_bytes = bytes.len() as u64;
        self.snapshot_bytes = self.segment_bytes;
        for older in segment_numbers(&self.directory)?.into_iter().filter(|&older| older < number) {
            fs::remove_file(segment_path(&self.directory, older))?;
        }
        // An older segment beside a broken one then says that nothing was told of the newer one.
        sync_directory(&self.directory)?;
        self.file = Some(file);
        Ok(())
    }

    /// Writes records and syncs them. After an error nothing more can be appended until a segment is started.
    pub fn append(&mut self, records: &[&[u8]]) -> io::Result<()> {
        let mut file = self.file.take().ok_or_else(|| io::Error::other("the segment is not writable"))?;
        let mut bytes = Vec::new();
        encode_record(&append_marker(self.segment_number, self.segment_bytes), &mut bytes)?;
        for record in records {
            encode_record(record, &mut bytes)?;
        }
        file.write_all(&bytes)?;
        file.sync_data()?;
        self.segment_bytes += bytes.len() as u64;
        self.file = Some(file);
        Ok(())
    }

    /// Whether records can be appended.
    pub fn is_writable(&self) -> bool {
        self.file.is_some()
    }

    /// Bytes of records behind the snapshot of the segment that is written.
    pub fn record_bytes(&self) -> u64 {
        self.segment_bytes - self.snapshot_bytes
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

fn sync_directory(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn encode_record(payload: &[u8], into: &mut Vec<u8>) -> io::Result<()> {
    let length = u32::try_from(payload.len()).ok().filter(|&length| length as usize <= MAX_PAYLOAD_BYTES);
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
    if length > MAX_PAYLOAD_BYTES || length > rest.len() {
        return None;
    }
    let (payload, rest) = rest.split_at(length);
    (crc32fast::hash(payload) == u32::from_le_bytes(*checksum)).then_some((payload, rest))
}

/// The payload of the mark at an offset of a segment.
fn append_marker(number: u64, offset: u64) -> [u8; APPEND_MARKER_BYTES] {
    let mut payload = [0; APPEND_MARKER_BYTES];
    payload[..8].copy_from_slice(&APPEND_MARKER);
    payload[8..16].copy_from_slice(&number.to_le_bytes());
    payload[16..].copy_from_slice(&offset.to_le_bytes());
    payload
}

/// Offset of the first whole mark of this segment at or behind the start of `bytes`, which is the whole segment.
fn find_append_marker(bytes: &[u8], number: u64) -> Option<usize> {
    find_append_marker_from(bytes, number, MAGIC.len())
}

fn find_append_marker_from(bytes: &[u8], number: u64, from: usize) -> Option<usize> {
    let is_mark = |offset: &usize| {
        let payload = decode_record(&bytes[*offset..]).map(|(payload, _)| payload);
        payload == Some(&append_marker(number, *offset as u64)[..])
    };
    // The length in front of a mark is always the same, and rules most offsets out.
    let length = (APPEND_MARKER_BYTES as u32).to_le_bytes();
    (from..bytes.len()).filter(|&offset| bytes[offset..].starts_with(&length)).find(is_mark)
}

/// What a segment holds; `None` where it has no whole snapshot. A format that this program does not know is an error.
fn read_segment(bytes: &[u8], number: u64) -> io::Result<Option<Recovered>> {
    let Some(body) = bytes.strip_prefix(&MAGIC) else {
        let version = bytes.strip_prefix(MAGIC_PREFIX).and_then(|rest| rest.first().copied());
        // Zero is a torn header, and marks of this format mean that the version was damaged.
        let other = version.filter(|version| *version != 0 && find_append_marker(bytes, number).is_none());
        return other.map_or(Ok(None), |version| Err(unknown_format(number, version)));
    };
    let Some((snapshot, mut rest)) = decode_record(body) else { return Ok(None) };
    let mut recovered = Recovered { snapshot: Some(snapshot.to_vec()), ..Recovered::default() };
    while let Some((payload, behind)) = decode_record(rest) {
        let offset = (bytes.len() - rest.len()) as u64;
        if payload != append_marker(number, offset) {
            recovered.records.push(payload.to_vec());
        }
        rest = behind;
    }
    recovered.torn_bytes = rest.len();
    recovered.damaged = find_append_marker_from(bytes, number, bytes.len() - rest.len()).is_some();
    Ok(Some(recovered))
}

fn unknown_format(number: u64, version: u8) -> io::Error {
    let known = MAGIC[MAGIC.len() - 1];
    let text = format!("segment {number} has format {version}, and this program reads format {known}");
    io::Error::new(io::ErrorKind::InvalidData, text)
}
