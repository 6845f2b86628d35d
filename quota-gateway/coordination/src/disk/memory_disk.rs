//! A disk in memory that crashes.

use rand::Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Sectors are written as a whole; a write of several may be torn between them.
const SECTOR_BYTES: usize = 512;

/// A disk in memory that stops at a step. What was not synced by then is kept, torn or lost at random.
#[derive(Clone, Debug)]
pub struct MemoryDisk(Arc<Mutex<DiskState>>);

/// A change since the last sync.
#[derive(Debug)]
enum Pending {
    /// Bytes at an offset.
    Write(u64, Vec<u8>),
    /// A new length.
    Length(u64),
}

#[derive(Debug)]
struct DiskState {
    synced: Vec<u8>,
    /// What readers see.
    visible: Vec<u8>,
    pending: Vec<Pending>,
    steps: u64,
    /// From this step on every access fails (a crash), or only syncs do (a failing disk).
    stops_at: u64,
    only_syncs_fail: bool,
    /// Nothing more is kept, and syncs return success.
    ignores_syncs: bool,
}

impl MemoryDisk {
    /// Returns a disk with these contents, which never stops.
    pub fn new(image: Vec<u8>) -> MemoryDisk {
        let state = DiskState {
            visible: image.clone(),
            synced: image,
            pending: Vec::new(),
            steps: 0,
            stops_at: u64::MAX,
            only_syncs_fail: false,
            ignores_syncs: false,
        };
        MemoryDisk(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the disk stop this many steps from now, altogether or for syncs alone.
    pub fn stop_in(&self, steps: u64, only_syncs_fail: bool) {
        let mut state = self.state();
        state.stops_at = state.steps.saturating_add(steps);
        state.only_syncs_fail = only_syncs_fail;
    }

    /// Makes the disk keep nothing more and report success: no database survives that.
    pub fn ignore_syncs(&self, ignores_syncs: bool) {
        self.state().ignores_syncs = ignores_syncs;
    }

    /// Whether the disk has reached the step at which it stops.
    pub fn has_stopped(&self) -> bool {
        let state = self.state();
        state.steps >= state.stops_at
    }

    /// Returns the contents that a machine finds when it starts again.
    pub fn after_crash(&self, rng: &mut impl Rng) -> Vec<u8> {
        let state = self.state();
        let mut image = state.synced.clone();
        if state.ignores_syncs {
            return image;
        }
        for change in &state.pending {
            if rng.random_bool(0.5) {
                continue;
            }
            match change {
                Pending::Write(at, bytes) if rng.random_bool(0.5) => {
                    let kept = rng.random_range(0..=bytes.len() / SECTOR_BYTES) * SECTOR_BYTES;
                    write_at(&mut image, *at, &bytes[..kept]);
                }
                Pending::Write(at, bytes) => write_at(&mut image, *at, bytes),
                Pending::Length(length) => image.resize(*length as usize, 0),
            }
        }
        image
    }
}

fn write_at(image: &mut Vec<u8>, at: u64, bytes: &[u8]) {
    let end = at as usize + bytes.len();
    if image.len() < end {
        image.resize(end, 0);
    }
    image[at as usize..end].copy_from_slice(bytes);
}

impl DiskState {
    fn step(&mut self, sync: bool) -> io::Result<()> {
        self.steps += 1;
        match self.steps >= self.stops_at && (sync || !self.only_syncs_fail) {
            true => Err(io::Error::other("the disk has stopped")),
            false => Ok(()),
        }
    }
}

impl StorageBackend for MemoryDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state().visible.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.state();
        let from = offset as usize;
        let bytes = state.visible.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.state();
        state.step(false)?;
        state.visible.resize(len as usize, 0);
        state.pending.push(Pending::Length(len));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut state = self.state();
        state.step(true)?;
        if state.ignores_syncs {
            return Ok(());
        }
        for change in std::mem::take(&mut state.pending) {
            match change {
                Pending::Write(at, bytes) => write_at(&mut state.synced, at, &bytes),
                Pending::Length(length) => state.synced.resize(length as usize, 0),
            }
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.step(false)?;
        write_at(&mut state.visible, offset, data);
        state.pending.push(Pending::Write(offset, data.to_vec()));
        Ok(())
    }
}
