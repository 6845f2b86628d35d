//! One member's state: the state machine, where it stands in the chain's history, the view, and the vote on the next one.
//! All of it is on disk before anybody is told.

use crate::message::{Append, Install};
use crate::storage::{Checkpoint, Record, Storage, Vote};
use crate::view::{Member, View};
use marblecroft_rpc::{decode, encode, Bytes, Message};
use marblecroft_wal::Recovered;
use musli::{Decode, Encode};
use std::collections::VecDeque;
use std::io;

/// Records behind a checkpoint, in bytes, after which a new segment begins.
const MAX_SEGMENT_BYTES: u64 = 48 << 20;
/// Entries that are kept for members that are a little behind, in bytes.
const MAX_RECENT_BYTES: usize = 8 << 20;

/// A deterministic state that operations change.
pub trait StateMachine: Sized {
    type Operation: Message;
    type Output;

    /// Carries out one operation. Every member carries out the same ones in the same order.
    fn apply(&mut self, operation: Self::Operation) -> Self::Output;

    /// Bytes that an operation takes, roughly; bounds what one round carries.
    fn size_of(operation: &Self::Operation) -> usize;

    /// The whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// The state that a snapshot tells; `None` where it cannot be read.
    fn restore(snapshot: &[u8]) -> Option<Self>;
}

/// A place in a chain's history. Equal positions mean equal states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Position {
    /// Entries so far.
    pub index: u64,
    /// Hash over all of them, in order.
    pub hash: u64,
}

impl Position {
    /// The position after one more entry.
    pub fn after(self, entry: &[u8]) -> Position {
        // FNV-1a over words of eight bytes, carried on from the hash of all entries before. Folding the upper half in lets
        // every bit of a word reach the lower bits of what follows.
        const PRIME: u64 = 0x0100_0000_01b3;
        const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        let mix = |hash: u64, word: u64| {
            let hash = (hash ^ word).wrapping_mul(PRIME);
            hash ^ (hash >> 32)
        };
        let mut hash = mix(mix(BASIS, self.hash), entry.len() as u64);
        let mut words = entry.chunks_exact(8);
        for word in &mut words {
            hash = mix(hash, word.try_into().map_or(0, u64::from_le_bytes));
        }
        hash = words.remainder().iter().fold(hash, |hash, byte| mix(hash, u64::from(*byte)));
        Position { index: self.index + 1, hash }
    }
}

/// What became of an [`Append`] or [`Install`] at this member.
#[derive(Debug)]
pub enum AppendOutcome {
    /// It holds everything up to the sender's position, on disk.
    Accepted,
    Mismatch(Position),
    StaleView(View),
    NotMember,
    StorageError(io::Error),
}

/// An entry that is kept for members that are a little behind.
struct RecentEntry {
    previous: Position,
    entry: Vec<u8>,
}

/// One member's state.
pub struct Replica<M, S> {
    identity: u64,
    view: View,
    complete: bool,
    vote: Vote,
    position: Position,
    machine: M,
    committed: Position,
    storage: S,
    recent: VecDeque<RecentEntry>,
    recent_bytes: usize,
    /// Times that the state was replaced by another's: what was ordered before may be gone.
    restore_count: u64,
    /// The view in which the member before this one has brought it to its own state. From then on positions only grow.
    synchronized_in_view: u64,
}

impl<M: StateMachine, S: Storage> Replica<M, S> {
    /// The state that was found on disk, or `empty` where there was none, with `identity` as its identity. `founding` is the
    /// first view of a member that founds a chain.
    pub fn open(
        storage: S,
        recovered: Recovered,
        empty: M,
        identity: u64,
        founding: Option<View>,
    ) -> io::Result<Replica<M, S>> {
        let unreadable = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
        let mut replica = Replica {
            identity,
            complete: founding.is_some(),
            view: founding.unwrap_or_default(),
            vote: Vote::default(),
            position: Position::default(),
            machine: empty,
            committed: Position::default(),
            storage,
            recent: VecDeque::new(),
            recent_bytes: 0,
            restore_count: 0,
            synchronized_in_view: 0,
        };
        if let Some(snapshot) = recovered.snapshot {
            let checkpoint: Checkpoint =
                decode(&snapshot).map_err(|e| unreadable(&format!("checkpoint: {e}")))?;
            replica.identity = checkpoint.identity;
            replica.view = checkpoint.view;
            replica.complete = checkpoint.complete;
            replica.vote = checkpoint.vote;
            replica.position = checkpoint.position;
            replica.machine = M::restore(&checkpoint.machine.0).ok_or_else(|| unreadable("state"))?;
        }
        for record in recovered.records {
            match decode(&record).map_err(|e| unreadable(&format!("record: {e}")))? {
                Record::Entry(entry) => drop(replica.apply(entry.0)),
                Record::View { view, complete } => {
                    replica.view = view;
                    replica.complete = complete;
                }
                Record::Vote(vote) => replica.vote = vote,
            }
        }
        replica.start_segment()?;
        Ok(replica)
    }

    pub fn identity(&self) -> u64 {
        self.identity
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    pub fn vote(&self) -> &Vote {
        &self.vote
    }

    pub fn machine(&self) -> &M {
        &self.machine
    }

    pub fn position(&self) -> Position {
        self.position
    }

    /// Whether this member holds everything that was acknowledged in its view and before, as far as it knows.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether this member orders operations.
    pub fn is_head(&self) -> bool {
        self.complete && self.view.head().is_some_and(|head| head.identity == self.identity)
    }

    /// Times that the state was replaced by another's.
    pub fn restore_count(&self) -> u64 {
        self.restore_count
    }

    pub fn successor(&self) -> Option<(&Member, usize)> {
        self.view.successor_of(self.identity)
    }

    /// Whether the whole chain is known to hold this state.
    pub fn is_committed(&self) -> bool {
        self.committed == self.position
    }

    /// The whole chain holds what this member held at `position`.
    pub fn commit(&mut self, position: Position) {
        if position.index >= self.committed.index {
            self.committed = position;
        }
    }

    fn checkpoint(&self) -> Vec<u8> {
        encode(&Checkpoint {
            identity: self.identity,
            view: self.view.clone(),
            complete: self.complete,
            vote: self.vote.clone(),
            position: self.position,
            machine: Bytes(self.machine.snapshot()),
        })
    }

    fn start_segment(&mut self) -> io::Result<()> {
        let checkpoint = self.checkpoint();
        self.storage.start_segment(&checkpoint)
    }

    /// Writes changes to disk before they are made in memory. After an error the next change begins a segment.
    fn persist(&mut self, records: &[Record]) -> io::Result<()> {
        if !self.storage.is_writable() || self.storage.record_bytes() > MAX_SEGMENT_BYTES {
            self.start_segment()?;
        }
        let encoded: Vec<Vec<u8>> = records.iter().map(encode).collect();
        let parts: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
        self.storage.append(&parts)
    }

    fn apply(&mut self, entry: Vec<u8>) -> Vec<M::Output> {
        let before = self.position;
        self.position = before.after(&entry);
        // An entry was encoded by a head of the same version; one that cannot be read changes nothing anywhere.
        let operations: Vec<M::Operation> = decode(&entry).unwrap_or_default();
        self.recent_bytes += entry.len();
        self.recent.push_back(RecentEntry { previous: before, entry });
        // The newest is always kept: the member that follows has yet to get it.
        while self.recent_bytes > MAX_RECENT_BYTES && self.recent.len() > 1 {
            let Some(oldest) = self.recent.pop_front() else { break };
            self.recent_bytes -= oldest.entry.len();
        }
        operations.into_iter().map(|operation| self.machine.apply(operation)).collect()
    }

    /// Orders operations as the head: they are on this member's disk on return, and acknowledged once the chain holds them.
    pub fn propose(&mut self, operations: &Vec<M::Operation>) -> io::Result<Vec<M::Output>> {
        let entry = encode(operations);
        self.persist(&[Record::Entry(Bytes(entry.clone()))])?;
        Ok(self.apply(entry))
    }

    /// The entries from a position to this member's; `None` where they are not kept any more or never were here.
    pub fn entries_since(&self, from: Position) -> Option<Vec<Bytes>> {
        if from == self.position {
            return Some(Vec::new());
        }
        let first = self.recent.iter().position(|recent| recent.previous == from)?;
        Some(self.recent.iter().skip(first).map(|recent| Bytes(recent.entry.clone())).collect())
    }

    /// The whole state, for a member whose own is another one.
    pub fn snapshot_message(&self) -> Install {
        Install { view: self.view.clone(), position: self.position, machine: Bytes(self.machine.snapshot()) }
    }

    /// Takes notice of a view. This member stays complete only where it was in the view directly before.
    pub fn install_view(&mut self, view: &View) -> io::Result<bool> {
        if view.number <= self.view.number {
            return Ok(false);
        }
        let founds = view.number == 1 && self.position == Position::default();
        let follows = self.complete && view.number == self.view.number + 1;
        let complete = view.contains(self.identity) && (founds || follows);
        self.persist(&[Record::View { view: view.clone(), complete }])?;
        self.view = view.clone();
        self.complete = complete;
        Ok(true)
    }

    /// Why a message of this view is refused here, if it is.
    fn reject_or_install_view(&mut self, view: &View) -> Option<AppendOutcome> {
        if view.number < self.view.number {
            return Some(AppendOutcome::StaleView(self.view.clone()));
        }
        if !view.contains(self.identity) {
            return Some(AppendOutcome::NotMember);
        }
        self.install_view(view).err().map(AppendOutcome::StorageError)
    }

    /// Takes what the member before this one sends.
    pub fn append(&mut self, append: &Append) -> AppendOutcome {
        if let Some(refusal) = self.reject_or_install_view(&append.view) {
            return refusal;
        }
        let becomes_complete = !self.complete;
        let mut records = Vec::new();
        let mut end = self.position;
        if self.position != append.last {
            end = append.entries.iter().fold(append.previous, |at, entry| at.after(&entry.0));
            if append.previous != self.position || end != append.last {
                return AppendOutcome::Mismatch(self.position);
            }
            records.extend(append.entries.iter().cloned().map(Record::Entry));
        }
        if becomes_complete {
            records.push(Record::View { view: self.view.clone(), complete: true });
        }
        if !records.is_empty() {
            if let Err(e) = self.persist(&records) {
                return AppendOutcome::StorageError(e);
            }
        }
        self.complete = true;
        self.synchronized_in_view = self.view.number;
        if end != self.position {
            for entry in &append.entries {
                drop(self.apply(entry.0.clone()));
            }
        }
        AppendOutcome::Accepted
    }

    /// Takes a whole state in place of this member's own.
    pub fn install(&mut self, install: &Install) -> AppendOutcome {
        if let Some(refusal) = self.reject_or_install_view(&install.view) {
            return refusal;
        }
        if self.synchronized_in_view == self.view.number && install.position.index <= self.position.index {
            // Sent before what this member has taken since, and late: taking it would lose what was acknowledged.
            return AppendOutcome::Mismatch(self.position);
        }
        let Some(machine) = M::restore(&install.machine.0) else {
            return AppendOutcome::StorageError(io::Error::new(io::ErrorKind::InvalidData, "state"));
        };
        let (machine, position) = (
            std::mem::replace(&mut self.machine, machine),
            std::mem::replace(&mut self.position, install.position),
        );
        let complete = std::mem::replace(&mut self.complete, true);
        self.recent.clear();
        self.recent_bytes = 0;
        if let Err(e) = self.start_segment() {
            // Nothing of it counts before it is on disk.
            (self.machine, self.position, self.complete) = (machine, position, complete);
            return AppendOutcome::StorageError(e);
        }
        self.synchronized_in_view = self.view.number;
        self.restore_count += 1;
        AppendOutcome::Accepted
    }

    /// Takes another process's state ahead of joining its chain. It counts for nothing until the member before this one has
    /// confirmed or replaced it; a member takes none.
    pub fn install_as_learner(&mut self, state: &Install) -> io::Result<()> {
        if self.view.contains(self.identity) {
            return Ok(());
        }
        let unreadable = || io::Error::new(io::ErrorKind::InvalidData, "state");
        self.machine = M::restore(&state.machine.0).ok_or_else(unreadable)?;
        self.position = state.position;
        self.complete = false;
        self.restore_count += 1;
        self.recent.clear();
        self.recent_bytes = 0;
        self.start_segment()
    }

    /// Keeps a vote on the next view.
    pub(crate) fn persist_vote(&mut self, vote: Vote) -> io::Result<()> {
        self.persist(&[Record::Vote(vote.clone())])?;
        self.vote = vote;
        Ok(())
    }
}
