//! A virtual disk: synced data stays, and unsynced writes may be lost or torn when power is lost.

use fastrand::Rng;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_wal::Recovered;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A write whose sync has not returned.
enum Write {
    Records(Vec<Vec<u8>>),
    Segment(Vec<u8>),
}

/// What a process reads.
#[derive(Clone, Default)]
struct Contents {
    snapshot: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
    corrupted: bool,
}

impl Contents {
    /// Applies a complete write. A segment replaces everything before it, damage included.
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
    /// Time that the writes since the last [`Disk::take_time`] have taken.
    elapsed: Duration,
}

/// A disk that outlives the processes of its machine.
#[derive(Clone, Default)]
pub struct Disk(Arc<Mutex<State>>);

impl Disk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what a process recovers when it starts, or when it reads the disk anew: what was written, synced or not. It
    /// must begin a new segment before it writes records.
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

    /// Lets all writes fail from now on, or none.
    pub fn set_failing(&self, failing: bool) {
        self.state().failing = failing;
    }

    /// Flips a bit of synced data: a random record and all after it can't be read, or the snapshot where there is no record.
    pub fn corrupt(&self, rng: &mut Rng) {
        let mut state = self.state();
        let contents = &mut state.synced;
        contents.corrupted = true;
        if contents.records.is_empty() {
            contents.snapshot = None;
        } else {
            let kept = rng.usize(0..contents.records.len());
            contents.records.truncate(kept);
        }
    }

    /// Erases everything; the duration of a write stays.
    pub fn wipe(&self) {
        let sync_time = self.state().sync_time;
        *self.state() = State { sync_time, ..State::default() };
    }

    /// Returns the time that the writes since the last call have taken.
    pub fn take_time(&self) -> Duration {
        std::mem::take(&mut self.state().elapsed)
    }

    /// Completes the syncs of all unsynced writes.
    pub fn complete(&self) {
        let mut state = self.state();
        for write in std::mem::take(&mut state.unsynced) {
            state.synced.apply(&write);
        }
    }

    /// Loses power: each unsynced write is complete, missing or torn, at random; nothing after a torn one is read.
    pub fn lose_power(&self, rng: &mut Rng) {
        let mut state = self.state();
        for write in std::mem::take(&mut state.unsynced) {
            match write {
                Write::Records(records) => {
                    let kept = rng.usize(0..=records.len());
                    let is_complete = kept == records.len();
                    state.synced.records.extend(records.into_iter().take(kept));
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
        state.elapsed += sync_time;
        let records: Vec<Vec<u8>> = records.iter().map(|record| record.to_vec()).collect();
        if state.failing {
            // A part of a failed write may have reached the disk all the same.
            let torn = records.into_iter().take(1).collect();
            state.unsynced.push(Write::Records(torn));
            state.writable = false;
            return Err(io::Error::other("the disk refuses"));
        }
        state.unsynced.push(Write::Records(records));
        Ok(())
    }

    fn start_segment(&mut self, snapshot: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let sync_time = state.sync_time;
        state.elapsed += sync_time;
        if state.failing {
            state.writable = false;
            return Err(io::Error::other("the disk refuses"));
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
        // Segments turn over after a few hundred entries, so that every test sees it.
        self.state().synced.records.len() as u64 * RECORD_BYTES
    }
}

/// Bytes that one record counts for, far more than it has.
const RECORD_BYTES: u64 = 256 << 10;
