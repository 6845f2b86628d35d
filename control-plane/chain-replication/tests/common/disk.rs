//! A disk whose failures are set by the test. What it keeps is durable at once.

use marblecroft_chain_replication::storage::Storage;
use marblecroft_wal::Recovered;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;

/// What becomes of an append.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AppendFate {
    #[default]
    Succeeds,
    /// An error is returned, and the first records, so many, are there all the same.
    FailsKeeping(usize),
}

/// What is on a disk.
#[derive(Clone, Default)]
pub struct Contents {
    checkpoint: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
}

#[derive(Default)]
struct DiskState {
    contents: Contents,
    append: AppendFate,
    refuses_segments: bool,
    is_writable: bool,
    reads: usize,
}

/// A disk, which outlives the processes that use it; clones share it.
#[derive(Clone, Default)]
pub struct Disk(Rc<RefCell<DiskState>>);

impl Disk {
    pub fn set_append(&self, append: AppendFate) {
        self.0.borrow_mut().append = append;
    }

    pub fn refuse_segments(&self, refuses: bool) {
        self.0.borrow_mut().refuses_segments = refuses;
    }

    pub fn contents(&self) -> Contents {
        self.0.borrow().contents.clone()
    }

    pub fn set_contents(&self, contents: Contents) {
        self.0.borrow_mut().contents = contents;
    }

    /// What the next process finds.
    pub fn recovered(&self) -> Recovered {
        let Contents { checkpoint, records } = self.contents();
        Recovered { snapshot: checkpoint, records, ..Recovered::default() }
    }

    /// How often a process has read the disk anew.
    pub fn reads(&self) -> usize {
        self.0.borrow().reads
    }
}

impl Storage for Disk {
    fn append(&mut self, records: &[&[u8]]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        assert!(state.is_writable, "append without a segment");
        let kept = match state.append {
            AppendFate::Succeeds => usize::MAX,
            AppendFate::FailsKeeping(kept) => kept,
        };
        state.contents.records.extend(records.iter().take(kept).map(|record| record.to_vec()));
        if state.append == AppendFate::Succeeds {
            return Ok(());
        }
        state.is_writable = false;
        Err(io::Error::other("disk failure"))
    }

    fn start_segment(&mut self, checkpoint: &[u8]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.is_writable = !state.refuses_segments;
        if state.refuses_segments {
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
