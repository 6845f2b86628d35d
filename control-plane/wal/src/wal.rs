//! Writes segments and records.

use crate::directory::{segment_numbers, segment_path, sync_directory};
use crate::error::WalError;
use crate::format::MAGIC;
use crate::record::{append_marker, encode_record, RECORD_HEADER_BYTES};
use crate::recovery::{recover, Recovered};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// An open log in one directory.
pub struct Wal {
    directory: PathBuf,
    /// Number of the current segment.
    segment_number: u64,
    file: Option<File>,
    /// Size of the current segment in bytes.
    segment_bytes: u64,
    /// Size of the part before its first append in bytes.
    snapshot_bytes: u64,
}

impl Wal {
    /// Opens the log in a directory, which is created if it does not exist, and recovers its contents. Records can be
    /// appended after [`Wal::start_segment`].
    ///
    /// # Errors
    ///
    /// Returns an error of the file system, or [`WalError::UnknownFormat`].
    pub fn open(directory: &Path) -> io::Result<(Wal, Recovered)> {
        fs::create_dir_all(directory)?;
        let mut wal = Wal {
            directory: directory.to_owned(),
            segment_number: 0,
            file: None,
            segment_bytes: 0,
            snapshot_bytes: 0,
        };
        let recovered = wal.recover()?;
        Ok((wal, recovered))
    }

    /// Reads the contents again, as [`Wal::open`] does. Records can be appended after [`Wal::start_segment`].
    ///
    /// # Errors
    ///
    /// Returns an error of the file system, or [`WalError::UnknownFormat`].
    pub fn recover(&mut self) -> io::Result<Recovered> {
        self.file = None;
        let recovery = recover(&self.directory)?;
        self.segment_number = self.segment_number.max(recovery.newest_segment);
        Ok(recovery.recovered)
    }

    /// Starts a segment with this snapshot, which is durable on return, and removes the older segments.
    ///
    /// # Errors
    ///
    /// Returns an error of the file system, or [`WalError::RecordTooLong`]. After an error a recovery finds
    /// either this segment or the older one, and nothing can be appended until a segment is started.
    pub fn start_segment(&mut self, snapshot: &[u8]) -> io::Result<()> {
        let number = self.segment_number + 1;
        let mut bytes = Vec::with_capacity(MAGIC.len() + RECORD_HEADER_BYTES + snapshot.len());
        bytes.extend_from_slice(&MAGIC);
        encode_record(snapshot, &mut bytes)?;
        // The number is used even if the write fails, so that no torn segment is overwritten. The older segment
        // accepts no further records: a segment whose write failed may be durable nevertheless, and a recovery
        // would then ignore the older one.
        self.segment_number = number;
        self.file = None;
        let path = segment_path(&self.directory, number);
        let file = match self.write_segment(&path, &bytes) {
            Ok(file) => file,
            Err(error) => {
                // Attempts on a full disk must not fill it further. If the removal fails too, a recovery
                // skips the torn segment.
                let _ = fs::remove_file(&path);
                return Err(error);
            }
        };
        self.segment_bytes = bytes.len() as u64;
        self.snapshot_bytes = self.segment_bytes;
        for older in segment_numbers(&self.directory)?.into_iter().filter(|&older| older < number) {
            fs::remove_file(segment_path(&self.directory, older))?;
        }
        // From here on, an older segment beside an unreadable newer one shows that nothing was appended to
        // the newer one.
        sync_directory(&self.directory)?;
        self.file = Some(file);
        Ok(())
    }

    fn write_segment(&self, path: &Path, bytes: &[u8]) -> io::Result<File> {
        let mut file = OpenOptions::new().write(true).create_new(true).open(path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        sync_directory(&self.directory)?;
        Ok(file)
    }

    /// Appends records, which are durable on return.
    ///
    /// # Errors
    ///
    /// Returns an error of the file system, [`WalError::NotWritable`] or [`WalError::RecordTooLong`]. After
    /// an error it is unknown whether the records are durable, and nothing can be appended until a segment is
    /// started.
    pub fn append(&mut self, records: &[&[u8]]) -> io::Result<()> {
        let mut file = self.file.take().ok_or(WalError::NotWritable)?;
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

    /// Returns the size in bytes of the records and markers in the current segment.
    pub fn record_bytes(&self) -> u64 {
        self.segment_bytes - self.snapshot_bytes
    }
}
