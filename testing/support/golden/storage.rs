//! Comparison of the storage writes of a chain member with recorded ones, shared by golden tests. A file that
//! includes this module must also include the module `encoding`.

use super::encoding::{decode_hex, hex};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_wal::Recovered;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;

/// A storage that records each write as a line: `segment` or `append`, and the bytes in hexadecimal.
#[derive(Clone, Default)]
pub struct RecordingStorage(Rc<RefCell<String>>);

impl RecordingStorage {
    fn record(&self, kind: &str, bytes: &[u8]) {
        self.0.borrow_mut().push_str(&format!("{kind} {}\n", hex(bytes)));
    }

    /// Returns the recorded lines.
    pub fn written(&self) -> String {
        self.0.borrow().clone()
    }

    /// Checks that the recorded writes equal those of a fixture.
    #[track_caller]
    pub fn check_written(&self, fixture: &str) {
        let written = self.written();
        assert!(written == fixture, "the writes differ from the fixture; written:\n{written}");
    }
}

impl Storage for RecordingStorage {
    fn append(&mut self, records: &[&[u8]]) -> io::Result<()> {
        records.iter().for_each(|record| self.record("append", record));
        Ok(())
    }

    fn start_segment(&mut self, checkpoint: &[u8]) -> io::Result<()> {
        self.record("segment", checkpoint);
        Ok(())
    }

    fn recover(&mut self) -> io::Result<Recovered> {
        Ok(recovered(&self.written()))
    }

    fn is_writable(&self) -> bool {
        true
    }

    fn record_bytes(&self) -> u64 {
        0
    }
}

/// Returns the last checkpoint of a fixture and the records after it.
pub fn recovered(fixture: &str) -> Recovered {
    let mut found = Recovered::default();
    for line in fixture.lines() {
        let (kind, bytes) = line.split_once(' ').expect("a line has a kind and bytes");
        match kind {
            "segment" => {
                found.snapshot = Some(decode_hex(bytes));
                found.records.clear();
            }
            _ => found.records.push(decode_hex(bytes)),
        }
    }
    found
}
