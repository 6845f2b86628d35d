//! Reads: values, watches, lists for operators, and snapshots.

use super::{Service, SNAPSHOT_CHUNK_BYTES};
use crate::state::{Revision, SessionId};
use crate::wire::{LockStatus, Response, SessionStatus, MAX_PAYLOAD_BYTES};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Longest wait of a watch.
pub(super) const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Maximum size of the values, or of the list items, in one reply, in bytes.
pub(super) const MAX_VALUES_BYTES: usize = MAX_PAYLOAD_BYTES / 2;
/// Size of the changes in one reply, in bytes; the last change may exceed it.
pub(super) const MAX_CHANGES_BYTES: usize = 1 << 20;
/// Upper bound of the size of a value in a reply in addition to its key and its contents, in bytes.
const VALUE_OVERHEAD_BYTES: usize = 32;
/// Upper bound of the size of a list item in a reply in addition to its names, in bytes.
const LIST_ITEM_OVERHEAD_BYTES: usize = 40;

/// Sums up the size of the items of a list, in bytes.
#[derive(Default)]
struct ListSize(usize);

impl ListSize {
    /// Adds an item with names of this length, and returns whether it still fits into the reply.
    fn fits(&mut self, name_bytes: usize) -> bool {
        self.0 += name_bytes + LIST_ITEM_OVERHEAD_BYTES;
        self.0 <= MAX_VALUES_BYTES
    }
}

impl Service {
    /// Reads values by prefix: linearizably on the leader, or, if `stale`, from the local state of this
    /// process.
    pub(super) async fn read(&self, prefix: &str, stale: bool) -> Response {
        if !stale && !self.has_confirmed_leadership().await {
            return self.not_serving();
        }
        let quorum_age_ms = self.raft.metrics().borrow().millis_since_quorum_ack;
        // A follower has no quorum acknowledgement. It reports twice the election timeout as the age of its
        // state.
        let election_ms = self.settings.election_timeout.as_millis() as u64 * 2;
        let age_ms = stale.then(|| quorum_age_ms.unwrap_or(election_ms));
        self.machine.with(|state| {
            let (revision, values) = state.read(prefix);
            let (mut bytes, mut listed) = (0, Vec::new());
            for (key, value) in values {
                bytes += key.len() + value.value.len() + VALUE_OVERHEAD_BYTES;
                if bytes > MAX_VALUES_BYTES {
                    return Response::Rejected("prefix: more than an answer holds; ask for less".to_owned());
                }
                listed.push((key.to_owned(), value.value.clone(), value.revision));
            }
            Response::Values { revision, values: listed, age_ms }
        })
    }

    /// Waits until there are changes after a revision, and then returns `None`. Returns a response if there
    /// are no changes in time, or if this process does not lead. Only the leader reports changes, so that a
    /// watch never goes back to an older revision when it continues on another process.
    pub(super) async fn await_changes(
        &self,
        prefix: &str,
        since: Revision,
        wait: Duration,
    ) -> Option<Response> {
        let deadline = Instant::now() + wait.min(MAX_WATCH_WAIT);
        loop {
            let changed = self.machine.changed.notified();
            if !self.has_confirmed_leadership().await {
                return Some(self.not_serving());
            }
            if self.machine.with(|state| state.has_changes(prefix, since)) {
                return None;
            }
            if timeout_at(deadline, changed).await.is_err() {
                return Some(self.changes(prefix, since));
            }
        }
    }

    /// Returns the changes after a revision.
    pub(super) fn changes(&self, prefix: &str, since: Revision) -> Response {
        Response::Changes(self.machine.with(|state| state.changes(prefix, since, MAX_CHANGES_BYTES)))
    }

    /// Lists the locks that are held, as many as fit into a reply.
    pub(super) fn list_locks(&self) -> Response {
        let mut size = ListSize::default();
        self.machine.with(|state| {
            let owners: BTreeMap<SessionId, &str> =
                state.sessions().map(|(id, session)| (id, session.name.as_str())).collect();
            let held = state.locks().filter_map(|(name, lock)| {
                let (holder, token) = lock.holder?;
                let owner_name = owners.get(&holder).copied().unwrap_or_default().to_owned();
                let waiting = lock.waiting.len() as u32;
                Some(LockStatus { name: name.to_owned(), holder, owner_name, token, waiting })
            });
            Response::Locks(
                held.take_while(|lock| size.fits(lock.name.len() + lock.owner_name.len())).collect(),
            )
        })
    }

    /// Lists the open sessions, as many as fit into a reply.
    pub(super) fn list_sessions(&self) -> Response {
        let mut size = ListSize::default();
        self.machine.with(|state| {
            let sessions = state.sessions().map(|(id, session)| SessionStatus {
                id,
                owner_name: session.name.clone(),
                ttl_ms: session.ttl_ms,
                locks: session.locks().len() as u32,
            });
            Response::Sessions(sessions.take_while(|session| size.fits(session.owner_name.len())).collect())
        })
    }

    /// Returns a chunk of a snapshot. The request for the first chunk takes the snapshot.
    pub(super) async fn snapshot_chunk(&self, from: u64) -> Response {
        if from == 0 {
            if !self.has_confirmed_leadership().await {
                return self.not_serving();
            }
            match self.machine.with(|state| state.snapshot()) {
                Ok(bytes) => drop(self.snapshot.replace(bytes)),
                Err(error) => return Response::Rejected(error.to_string()),
            }
        }
        let snapshot = self.snapshot.borrow();
        let rest = snapshot.get(from as usize..).unwrap_or_default();
        Response::SnapshotChunk {
            total: snapshot.len() as u64,
            bytes: rest[..rest.len().min(SNAPSHOT_CHUNK_BYTES)].to_vec(),
        }
    }
}
