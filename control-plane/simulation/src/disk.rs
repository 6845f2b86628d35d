//! A virtual disk: synced data is durable, and unsynced writes may be lost or torn when power is lost.

use fastrand::Rng;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_wal::Recovered;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A write that is not synced yet.
enum Write {
    Records(Vec<Vec<u8>>),
    Segment(Vec<u8>),
}

/// The data that a process reads.
#[derive(Clone, Default)]
struct Contents {
    snapshot: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
    corrupted: bool,
}

impl Contents {
    /// Applies a complete write. A segment replaces all previous contents, including corrupted data.
    fn apply(&mut self, write: &Write) {
        match write {
            Write::Records(records) => self.records.extend(records.iter().cloned()),
            Write::Segment(snapshot) => {
                *self = Contents { snapshot: Some(snapshot.clone()), ..Contents::default() };
            }
        }
    }
}

#[derive(Default)]
struct State {
    synced: Contents,
    unsynced: Vec<Write>,
    /// Whether writes fail.
    failing: bool,
    writable: bool,
    /// Duration of a write and its sync.
    sync_time: Duration,
    /// Total duration of the writes since the last [`Disk::take_write_time`].
    write_time: Duration,
}

/// A disk that keeps its data when a process of its machine ends.
#[derive(Clone, Default)]
pub struct Disk(Arc<Mutex<State>>);

impl Disk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the data that a process recovers when it starts or reads the disk again: all writes, synced or
    /// not. The process must start a new segment before it appends records.
    pub fn recovered(&self) -> Recovered {
        let mut state = self.state();
        state.writable = false;
        let mut visible = state.synced.clone();
        state.unsynced.iter().for_each(|write| visible.apply(write));
        Recovered {
            snapshot: visible.snapshot,
            records: visible.records,
            torn_bytes: 0,
            damaged: visible.corrupted,
        }
    }

    /// Sets the duration of a write and its sync.
    pub fn set_sync_time(&self, time: Duration) {
        self.state().sync_time = time;
    }

    /// Sets whether writes fail from now on.
    pub fn set_failing(&self, failing: bool) {
        self.state().failing = failing;
    }

    /// Flips a bit of synced data: a random record and all later ones become unreadable, or the snapshot if
    /// there is no record.
    pub fn corrupt(&self, rng: &mut Rng) {
        let mut state = self.state();
        let contents = &mut state.synced;
        contents.corrupted = true;
        if contents.records.is_empty() {
            contents.snapshot = None;
        } else {
            let retained = rng.usize(0..contents.records.len());
            contents.records.truncate(retained);
        }
    }

    /// Erases all data and ends write failures; the duration of a write stays.
    pub fn wipe(&self) {
        let sync_time = self.state().sync_time;
        *self.state() = State { sync_time, ..State::default() };
    }

    /// Returns the total duration of the writes since the last call.
    pub fn take_write_time(&self) -> Duration {
        std::mem::take(&mut self.state().write_time)
    }

    /// Syncs all unsynced writes.
    pub fn complete(&self) {
        let mut state = self.state();
        for write in std::mem::take(&mut state.unsynced) {
            state.synced.apply(&write);
        }
    }

    /// Simulates a loss of power: unsynced writes are kept, lost or torn at random. All writes after the
    /// first lost or torn one are lost.
    pub fn lose_power(&self, rng: &mut Rng) {
        let mut state = self.state();
        for write in std::mem::take(&mut state.unsynced) {
            match write {
                Write::Records(records) => {
                    let retained = rng.usize(0..=records.len());
                    let is_complete = retained == records.len();
                    state.synced.records.extend(records.into_iter().take(retained));
                    if !is_complete {
                        return;
                    }
                }
                Write::Segment(_) => {
                    if rng.bool() {
                        return;
                    }
                    state.synced.apply(&write);
                }
            }
        }
    }
}

impl Storage for Disk {
    fn append(&mut self, records: &[&[u8]]) -> io::Result<()> {
        let mut state = self.state();
        let sync_time = state.sync_time;
        state.write_time += sync_time;
        let records: Vec<Vec<u8>> = records.iter().map(|record| record.to_vec()).collect();
        if state.failing {
            // Part of a failed write may still have reached the disk.
            let torn = records.into_iter().take(1).collect();
            state.unsynced.push(Write::Records(torn));
            state.writable = false;
            return Err(io::Error::other("injected write failure"));
        }
        state.unsynced.push(Write::Records(records));
        Ok(())
    }

    fn start_segment(&mut self, snapshot: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let sync_time = state.sync_time;
        state.write_time += sync_time;
        if state.failing {
            state.writable = false;
            return Err(io::Error::other("injected write failure"));
        }
        state.unsynced.push(Write::Segment(snapshot.to_vec()));
        state.writable = true;
        Ok(())
    }

    fn recover(&mut self) -> io::Result<Recovered> {
        Ok(self.recovered())
    }

    fn is_writable(&self) -> bool {
        self.state().writable
    }

    fn record_bytes(&self) -> u64 {
        // Each record counts as large, so that a new segment starts after a few hundred records, and every
        // test covers this.
        self.state().synced.records.len() as u64 * RECORD_BYTES
    }
}

/// Bytes that each record counts as in the size of a segment, far more than its actual size.
const RECORD_BYTES: u64 = 256 << 10;
