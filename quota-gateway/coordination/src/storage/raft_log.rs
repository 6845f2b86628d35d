//! The storage interface of the consensus crate: the log and the vote.

use super::contents::VOTE;
use super::record::encode;
use super::writer::Write;
use super::LogStore;
use crate::raft_types::{NodeId, Types};
use openraft::storage::{LogFlushed, LogState, RaftLogStorage};
use openraft::{
    AnyError, Entry, LogId, OptionalSend, RaftLogId, RaftLogReader, StorageError, StorageIOError, Vote,
};
use std::fmt::Debug;
use std::ops::RangeBounds;

fn log_error(error: impl std::error::Error + 'static) -> StorageError<NodeId> {
    StorageIOError::write_logs(AnyError::error(error)).into()
}

impl RaftLogReader<Types> for LogStore {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<Types>>, StorageError<NodeId>> {
        Ok(self.contents().entries.range(range).map(|(_, entry)| entry.clone()).collect())
    }
}

impl RaftLogStorage<Types> for LogStore {
    type LogReader = LogStore;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError<NodeId>> {
        let contents = self.contents();
        let last = contents.entries.last_key_value().map(|(_, entry)| *entry.get_log_id());
        Ok(LogState { last_purged_log_id: contents.purged, last_log_id: last.or(contents.purged) })
    }

    async fn get_log_reader(&mut self) -> LogStore {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<NodeId>) -> Result<(), StorageError<NodeId>> {
        let written = self.write_record(VOTE, vote).await;
        written.map_err(|error| StorageIOError::write_vote(AnyError::error(error)))?;
        self.contents().vote = Some(*vote);
        Ok(())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<NodeId>>, StorageError<NodeId>> {
        Ok(self.contents().vote)
    }

    /// Keeps the committed index in memory; it is written together with the next entries. An older index on
    /// disk only means that fewer entries are applied after a restart before a leader is known.
    async fn save_committed(&mut self, committed: Option<LogId<NodeId>>) -> Result<(), StorageError<NodeId>> {
        self.contents().committed = committed;
        Ok(())
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<NodeId>>, StorageError<NodeId>> {
        Ok(self.contents().committed)
    }

    async fn append<I>(&mut self, entries: I, flushed: LogFlushed<Types>) -> Result<(), StorageError<NodeId>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut encoded = Vec::new();
        let committed = {
            let mut contents = self.contents();
            for entry in entries {
                let index = entry.get_log_id().index;
                encoded.push((index, encode(&entry).map_err(log_error)?));
                contents.entries.insert(index, entry);
            }
            contents.committed.map(|committed| encode(&committed)).transpose().map_err(log_error)?
        };
        let append = Write::Append { entries: encoded, committed, flushed };
        self.writes.submit(append).await.map_err(log_error)
    }

    async fn truncate(&mut self, from: LogId<NodeId>) -> Result<(), StorageError<NodeId>> {
        self.contents().entries.retain(|index, _| *index < from.index);
        self.writes.submit(Write::Truncate { from: from.index }).await.map_err(log_error)
    }

    async fn purge(&mut self, up_to: LogId<NodeId>) -> Result<(), StorageError<NodeId>> {
        {
            let mut contents = self.contents();
            contents.entries.retain(|index, _| *index > up_to.index);
            contents.purged = Some(up_to);
        }
        let record = encode(&up_to).map_err(log_error)?;
        self.writes.submit(Write::Purge { up_to: up_to.index, record }).await.map_err(log_error)
    }
}
