//! Simulation of a disk in memory, with crashes and failing syncs.

use rand::Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Size of a sector. A sector is written atomically; a write of several sectors may be torn between them.
const SECTOR_BYTES: usize = 512;

/// A disk in memory that stops at a given step. After a crash, each write that was not synced is kept, torn
/// or lost at random.
#[derive(Clone, Debug)]
pub struct MemoryDisk(Arc<Mutex<DiskState>>);

/// A change that is not synced yet.
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
    /// The contents as reads see them, with unsynced changes.
    visible: Vec<u8>,
    pending: Vec<Pending>,
    steps: u64,
    /// From this step on, every write and sync fails (a crash), or only syncs fail (a failing disk).
    stops_at: u64,
    only_syncs_fail: bool,
    /// Whether syncs return success but make nothing durable, so that a crash loses all later writes.
    ignores_syncs: bool,
}

impl MemoryDisk {
    /// Returns a disk with these contents that does not stop unless [`MemoryDisk::stop_in`] is called.
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

    /// Makes the disk stop this many steps from now, either completely or for syncs only.
    pub fn stop_in(&self, steps: u64, only_syncs_fail: bool) {
        let mut state = self.state();
        state.stops_at = state.steps.saturating_add(steps);
        state.only_syncs_fail = only_syncs_fail;
    }

    /// Makes the disk report successful syncs without making anything durable. No database survives such a
    /// disk.
    pub fn ignore_syncs(&self, ignores_syncs: bool) {
        self.state().ignores_syncs = ignores_syncs;
    }

    /// Returns whether the disk has reached the step at which it stops.
    pub fn has_stopped(&self) -> bool {
        let state = self.state();
        state.steps >= state.stops_at
    }

    /// Returns the contents of the disk after a crash and restart of the machine.
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
    fn step(&mut self, is_sync: bool) -> io::Result<()> {
        self.steps += 1;
        match self.steps >= self.stops_at && (is_sync || !self.only_syncs_fail) {
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
