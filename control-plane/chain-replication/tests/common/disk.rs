//! A simulated disk whose failures the test sets. Everything that it stores is durable at once.

use marblecroft_chain_replication::storage::Storage;
use marblecroft_wal::Recovered;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;

/// The result of an append.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AppendBehaviour {
    #[default]
    Succeeds,
    /// The append stores this many of its first records, and returns an error.
    FailsAfterStoring(usize),
}

/// The contents of a disk.
#[derive(Clone, Default)]
pub struct Contents {
    checkpoint: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
}

#[derive(Default)]
struct DiskState {
    contents: Contents,
    append: AppendBehaviour,
    fails_segment_starts: bool,
    is_writable: bool,
    reads: usize,
}

/// A disk, which outlives the processes that use it. Clones share the contents.
#[derive(Clone, Default)]
pub struct Disk(Rc<RefCell<DiskState>>);

impl Disk {
    pub fn set_append(&self, append: AppendBehaviour) {
        self.0.borrow_mut().append = append;
    }

    pub fn fail_segment_starts(&self, fails: bool) {
        self.0.borrow_mut().fails_segment_starts = fails;
    }

    pub fn contents(&self) -> Contents {
        self.0.borrow().contents.clone()
    }

    pub fn set_contents(&self, contents: Contents) {
        self.0.borrow_mut().contents = contents;
    }

    /// Returns the contents that the next process recovers.
    pub fn recovered(&self) -> Recovered {
        let Contents { checkpoint, records } = self.contents();
        Recovered { snapshot: checkpoint, records, ..Recovered::default() }
    }

    /// Returns how often a running process has read the disk again.
    pub fn reads(&self) -> usize {
        self.0.borrow().reads
    }
}

impl Storage for Disk {
    fn append(&mut self, records: &[&[u8]]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        assert!(state.is_writable, "append without a segment");
        let stored = match state.append {
            AppendBehaviour::Succeeds => usize::MAX,
            AppendBehaviour::FailsAfterStoring(stored) => stored,
        };
        state.contents.records.extend(records.iter().take(stored).map(|record| record.to_vec()));
        if state.append == AppendBehaviour::Succeeds {
            return Ok(());
        }
        state.is_writable = false;
        Err(io::Error::other("disk failure"))
    }

    fn start_segment(&mut self, checkpoint: &[u8]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.is_writable = !state.fails_segment_starts;
        if state.fails_segment_starts {
            return Err(io::Error::other("disk failure"));
        }
        state.contents = Contents { checkpoint: Some(checkpoint.to_vec()), records: Vec::new() };
        Ok(())
    }

    fn recover(&mut self) -> io::Result<Recovered> {
        let mut state = self.0.borrow_mut();
        state.reads += 1;
        state.is_writable = false;
        drop(state);
        Ok(self.recovered())
    }

    fn is_writable(&self) -> bool {
        self.0.borrow().is_writable
    }

    fn record_bytes(&self) -> u64 {
        self.0.borrow().contents.records.iter().map(|record| record.len() as u64).sum()
    }
}
