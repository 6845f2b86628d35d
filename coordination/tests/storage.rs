//! The log's store: the consensus crate's own suite for stores, and disks that crash, tear and fail.

use mapledeck_coordination::raft::{Machine, NodeId, Types};
use mapledeck_coordination::storage::LogStore;
use openraft::testing::{StoreBuilder, Suite};
use openraft::StorageError;
use redb::backends::InMemoryBackend;

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
