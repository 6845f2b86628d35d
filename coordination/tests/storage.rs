//! The log's store: the consensus crate's own suite for stores, and disks that crash, tear and fail.

use mapledeck_coordination::raft::{Machine, NodeId, Types};
use mapledeck_coordination::state::Command;
use mapledeck_coordination::storage::LogStore;
use openraft::storage::{RaftLogStorage, RaftLogStorageExt};
use openraft::testing::{StoreBuilder, Suite};
use openraft::{CommittedLeaderId, Entry, EntryPayload, LogId, RaftLogReader, StorageError, Vote};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use redb::backends::InMemoryBackend;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

struct Memory;

impl StoreBuilder<Types, LogStore, Machine> for Memory {
    async fn build(&self) -> Result<((), LogStore, Machine), StorageError<NodeId>> {
        // Built on a thread that waits: it is opened before there is a runtime.
        let log = std::thread::spawn(|| LogStore::on(InMemoryBackend::new(), true).expect("opens"));
        let log = log.join().expect("no panic");
        let machine = Machine::open(log.clone()).expect("no snapshot");
        Ok(((), log, machine))
    }
}

#[test]
fn it_passes_the_consensus_crates_own_suite() {
    Suite::test_all(Memory).expect("all of it");
}

/// A disk in memory that stops at a step: what was not synced by then is kept in part, torn or not at all, by chance.
#[derive(Clone, Debug)]
struct Disk(Arc<Mutex<Platter>>);

#[derive(Debug)]
struct Platter {
    synced: Vec<u8>,
    /// What readers see.
    now: Vec<u8>,
    /// Writes since the last sync: where, and what; or a new length.
    pending: Vec<(u64, Result<Vec<u8>, u64>)>,
    steps: u64,
    /// From this step on nothing works any more: a crash, or only syncs, a disk that fails.
    stops_at: u64,
    only_syncs: bool,
}

impl Disk {
    fn new(image: Vec<u8>, stops_at: u64, only_syncs: bool) -> Disk {
        let now = image.clone();
        Disk(Arc::new(Mutex::new(Platter {
            synced: image,
            now,
            pending: Vec::new(),
            steps: 0,
            stops_at,
            only_syncs,
        })))
    }

    fn platter(&self) -> MutexGuard<'_, Platter> {
        self.0.lock().expect("nobody panics while holding it")
    }

    /// What a machine finds that starts again.
    fn after_crash(&self, rng: &mut StdRng) -> Vec<u8> {
        let platter = self.platter();
        let mut image = platter.synced.clone();
        for (at, change) in &platter.pending {
            if rng.random_bool(0.5) {
                continue;
            }
            let kept = match change {
                // Sectors of 512 bytes are written whole, and a write of more of them may be torn.
                Ok(bytes) if rng.random_bool(0.5) => {
                    Ok(&bytes[..rng.random_range(0..=bytes.len() / 512) * 512])
                }
                other => other.as_deref().map_err(|length| *length),
            };
            keep(&mut image, *at, kept);
        }
        image
    }
}

/// A write, or a new length, comes to be on the disk.
fn keep(image: &mut Vec<u8>, at: u64, change: Result<&[u8], u64>) {
    match change {
        Err(length) => image.resize(length as usize, 0),
        Ok(bytes) => {
            let end = at as usize + bytes.len();
            if image.len() < end {
                image.resize(end, 0);
            }
            image[at as usize..end].copy_from_slice(bytes);
        }
    }
}

impl Platter {
    fn step(&mut self, sync: bool) -> io::Result<()> {
        self.steps += 1;
        match self.steps >= self.stops_at && (sync || !self.only_syncs) {
            true => Err(io::Error::other("the disk has stopped")),
            false => Ok(()),
        }
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.platter().now.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let platter = self.platter();
        let from = offset as usize;
        let bytes = platter.now.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut platter = self.platter();
        platter.step(false)?;
        platter.now.resize(len as usize, 0);
        platter.pending.push((0, Err(len)));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut platter = self.platter();
        platter.step(true)?;
        for (at, change) in std::mem::take(&mut platter.pending) {
            keep(&mut platter.synced, at, change.as_deref().map_err(|length| *length));
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut platter = self.platter();
        platter.step(false)?;
        let end = offset as usize + data.len();
        if platter.now.len() < end {
            platter.now.resize(end, 0);
        }
        platter.now[offset as usize..end].copy_from_slice(data);
        platter.pending.push((offset, Ok(data.to_vec())));
        Ok(())
    }
}

fn entry(index: u64) -> Entry<Types> {
    let command = Command::Floor { token: index };
    Entry { log_id: LogId::new(CommittedLeaderId::new(1, 1), index), payload: EntryPayload::Normal(command) }
}

/// Appends, votes, cuts and purges until the disk stops; the last index, the cut, and the vote that were acknowledged.
async fn work(store: &mut LogStore, rng: &mut StdRng) -> (u64, u64, u64) {
    let state = store.get_log_state().await.expect("in memory");
    let mut last = state.last_log_id.map_or(0, |last| last.index);
    let mut purged = state.last_purged_log_id.map_or(0, |last| last.index);
    let mut vote = store.read_vote().await.expect("in memory").map_or(0, |vote| vote.leader_id().term);
    for _ in 0..60 {
        let done = match rng.random_range(0..10) {
            0 => {
                let kept = store.save_vote(&Vote::new(vote + 1, 1)).await.is_ok();
                vote += u64::from(kept);
                kept
            }
            1 if last > purged + 20 => {
                let upto = LogId::new(CommittedLeaderId::new(1, 1), purged + 10);
                purged += 10;
                store.purge(upto).await.is_ok()
            }
            _ => {
                let from = if last == 0 { 0 } else { last + 1 };
                let upto = from + rng.random_range(0..5);
                let kept = store.blocking_append((from..=upto).map(entry).collect::<Vec<_>>()).await.is_ok();
                last = if kept { upto } else { last };
                kept
            }
        };
        if !done {
            break;
        }
    }
    (last, purged, vote)
}

/// Whatever step the machine stops at, and whatever of the unsynced writes is kept: the store opens again, and what was
/// acknowledged is there, without a hole.
#[test]
fn what_was_acknowledged_survives_a_crash_at_any_step() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(tokio::runtime::LocalOptions::default())
        .expect("a runtime");
    let mut crashes = 0;
    for seed in 0..80 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut image, mut last, mut vote) = (Vec::new(), 0, 0);
        for _ in 0..3 {
            let disk = Disk::new(image, rng.random_range(20..400), rng.random_bool(0.2));
            let opened = disk.clone();
            let Ok(mut store) = LogStore::on(opened, true) else {
                // It stopped while it was opened: nothing was acknowledged in this life.
                image = disk.after_crash(&mut rng);
                crashes += 1;
                continue;
            };
            let before = runtime.block_on(store.get_log_state()).expect("in memory");
            let held = before.last_log_id.map_or(0, |last| last.index);
            assert!(held >= last, "seed {seed}: {held} of {last} acknowledged entries");
            let kept = runtime.block_on(store.read_vote()).expect("in memory");
            let kept = kept.map_or(0, |vote| vote.leader_id().term);
            assert!(kept >= vote, "seed {seed}: vote {kept}, and {vote} was acknowledged");
            let from = before.last_purged_log_id.map_or(0, |purged| purged.index + 1);
            let entries = runtime.block_on(store.try_get_log_entries(from..)).expect("in memory");
            assert!(
                entries.iter().zip(from..).all(|(entry, index)| entry.log_id.index == index),
                "seed {seed}"
            );
            (last, _, vote) = runtime.block_on(work(&mut store, &mut rng));
            image = disk.after_crash(&mut rng);
            let platter = disk.platter();
            crashes += u64::from(platter.steps >= platter.stops_at);
        }
    }
    assert!(crashes > 80, "{crashes} crashes in 240 lives");
}
