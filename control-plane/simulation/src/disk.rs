//! A virtual disk: what was synced stays, and what was being written may be lost or torn when power goes.

use fastrand::Rng;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_wal::Recovered;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A write that is under way: its sync has not returned.
enum Write {
    Records(Vec<Vec<u8>>),
    Segment(Vec<u8>),
}

#[derive(Default)]
struct State {
    checkpoint: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
    under_way: Vec<Write>,
    refuses: bool,
    writable: bool,
    damaged: bool,
    /// What one write and its sync take.
    sync_time: Duration,
    /// What the writes of this input have taken.
    taken: Duration,
}

/// A disk that outlives the processes of its machine.
#[derive(Clone, Default)]
pub struct Disk(Arc<Mutex<State>>);

impl Disk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What a process finds when it starts.
    pub fn recovered(&self) -> Recovered {
        let mut state = self.state();
        state.writable = false;
        Recovered {
            snapshot: state.checkpoint.clone(),
            records: state.records.clone(),
            torn_bytes: 0,
            damaged: state.damaged,
        }
    }

    pub fn set_sync_time(&self, time: Duration) {
        self.state().sync_time = time;
    }

    pub fn set_refuses(&self, refuses: bool) {
        self.state().refuses = refuses;
    }

    /// A bit has flipped in something that was synced: what stands behind it can't be read.
    pub fn damage(&self, rng: &mut Rng) {
        let mut state = self.state();
        state.damaged = true;
        if state.records.is_empty() {
            state.checkpoint = None;
        } else {
            let kept = rng.usize(0..state.records.len());
            state.records.truncate(kept);
        }
    }

    pub fn wipe(&self) {
        let sync_time = self.state().sync_time;
        *self.state() = State { sync_time, ..State::default() };
    }

    /// The time that the writes since the last call have taken.
    pub fn take_time(&self) -> Duration {
        std::mem::take(&mut self.state().taken)
    }

    /// The writes under way have been synced.
    pub fn complete(&self) {
        let mut state = self.state();
        for write in std::mem::take(&mut state.under_way) {
            match write {
                Write::Records(records) => state.records.extend(records),
                Write::Segment(checkpoint) => {
                    state.checkpoint = Some(checkpoint);
                    state.records.clear();
                    state.damaged = false;
                }
            }
        }
    }

    /// Power goes while writes are under way: each is there, missing, or there in part; what follows one that is not whole
    /// is not read.
    pub fn lose_power(&self, rng: &mut Rng) {
        let mut state = self.state();
        for write in std::mem::take(&mut state.under_way) {
            match write {
                Write::Records(records) => {
                    let kept = rng.usize(0..=records.len());
                    let is_whole = kept == records.len();
                    state.records.extend(records.into_iter().take(kept));
                    if !is_whole {
                        return;
                    }
                }
                Write::Segment(checkpoint) => {
                    if rng.bool() {
                        return;
                    }
                    state.checkpoint = Some(checkpoint);
                    state.records.clear();
                }
            }
        }
    }
}

impl Storage for Disk {
    fn append(&mut self, records: &[&[u8]]) -> io::Result<()> {
        let mut state = self.state();
        let sync_time = state.sync_time;
        state.taken += sync_time;
        let records: Vec<Vec<u8>> = records.iter().map(|record| record.to_vec()).collect();
        if state.refuses {
            // A part of it may have reached the disk all the same.
            let part = records.into_iter().take(1).collect();
            state.under_way.push(Write::Records(part));
            state.writable = false;
            return Err(io::Error::other("the disk refuses"));
        }
        state.under_way.push(Write::Records(records));
        Ok(())
    }

    fn start_segment(&mut self, checkpoint: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let sync_time = state.sync_time;
        state.taken += sync_time;
        if state.refuses {
            return Err(io::Error::other("the disk refuses"));
        }
        state.under_way.push(Write::Segment(checkpoint.to_vec()));
        state.writable = true;
        Ok(())
    }

    fn is_writable(&self) -> bool {
        self.state().writable
    }

    fn record_bytes(&self) -> u64 {
        // Segments turn over after a few hundred entries, so that every test sees it.
        self.state().records.len() as u64 * SEGMENT_SHARE
    }
}

/// What one record counts of a segment, in bytes: far more than it has.
const SEGMENT_SHARE: u64 = 256 << 10;
