//! Requests whose submitters wait for a result: reads, and operations that are queued, uncommitted or
//! acknowledged. Each has a deadline.

use crate::error::ProposalError;
use crate::output::{Output, Token};
use std::collections::VecDeque;
use std::time::Duration;

/// Upper bound of the total size of the large operations in one entry in bytes. An operation that exceeds it
/// by itself is the only large one in its entry.
const MAX_ENTRY_BYTES: usize = 512 << 10;
/// Size in bytes from which an operation counts as large.
const LARGE_OPERATION_BYTES: usize = 16 << 10;

/// A submitter that waits for a result until a deadline.
#[derive(Clone, Copy)]
pub(crate) struct Waiter {
    pub token: Token,
    pub deadline: Duration,
}

/// An operation that the head has not ordered yet.
pub(crate) struct QueuedOperation<O> {
    pub waiter: Waiter,
    pub operation: O,
}

/// An operation that the head has ordered and that is not known to be stored by every member.
pub(crate) struct UncommittedOperation<R> {
    pub waiter: Waiter,
    /// Index of the entry that contains it.
    pub index: u64,
    pub output: R,
}

/// The requests that wait at the head. Reads that are to be confirmed by the round in flight are kept with
/// that round.
pub(crate) struct PendingRequests<O, R> {
    queue: VecDeque<QueuedOperation<O>>,
    uncommitted: VecDeque<UncommittedOperation<R>>,
    /// Reads that wait for a round to confirm that the state is the newest.
    reads: Vec<Waiter>,
}

impl<O, R> PendingRequests<O, R> {
    pub fn new() -> PendingRequests<O, R> {
        PendingRequests { queue: VecDeque::new(), uncommitted: VecDeque::new(), reads: Vec::new() }
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.uncommitted.is_empty() && self.reads.is_empty()
    }

    pub fn has_uncommitted(&self) -> bool {
        !self.uncommitted.is_empty()
    }

    pub fn push_operation(&mut self, operation: QueuedOperation<O>) {
        self.queue.push_back(operation);
    }

    pub fn extend_uncommitted(&mut self, operations: impl Iterator<Item = UncommittedOperation<R>>) {
        self.uncommitted.extend(operations);
    }

    pub fn extend_reads(&mut self, reads: impl IntoIterator<Item = Waiter>) {
        self.reads.extend(reads);
    }

    pub fn take_reads(&mut self) -> Vec<Waiter> {
        std::mem::take(&mut self.reads)
    }

    /// Returns the earliest deadline; `None` if no request waits.
    pub fn next_deadline(&self) -> Option<Duration> {
        let queued = self.queue.iter().map(|queued| queued.waiter.deadline);
        let uncommitted = self.uncommitted.iter().map(|uncommitted| uncommitted.waiter.deadline);
        let reads = self.reads.iter().map(|read| read.deadline);
        queued.chain(uncommitted).chain(reads).min()
    }

    /// Removes the operations of the next entry from the queue: all small ones, and large ones up to
    /// [`MAX_ENTRY_BYTES`].
    pub fn take_batch(&mut self, size_of: impl Fn(&O) -> usize) -> Vec<QueuedOperation<O>> {
        let mut bytes = 0;
        let fits = |queued: &QueuedOperation<O>| {
            let size = size_of(&queued.operation);
            // Small operations do not wait for large ones; the first large operation always fits.
            let fits = size < LARGE_OPERATION_BYTES || bytes == 0 || bytes + size <= MAX_ENTRY_BYTES;
            if fits && size >= LARGE_OPERATION_BYTES {
                bytes += size;
            }
            fits
        };
        let (batch, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queue).into_iter().partition(fits);
        self.queue = rest.into();
        batch
    }

    /// Acknowledges the operations of all entries up to an index.
    pub fn acknowledge_up_to(&mut self, index: u64, outputs: &mut Vec<Output<R>>) {
        while let Some(committed) = self.uncommitted.pop_front_if(|uncommitted| uncommitted.index <= index) {
            outputs.push(Output::Applied { token: committed.waiter.token, result: Ok(committed.output) });
        }
    }

    /// Fails all operations that are queued and not ordered.
    pub fn reject_queued(&mut self, error: &ProposalError, outputs: &mut Vec<Output<R>>) {
        let rejected = |queued: QueuedOperation<O>| Output::Applied {
            token: queued.waiter.token,
            result: Err(error.clone()),
        };
        outputs.extend(std::mem::take(&mut self.queue).into_iter().map(rejected));
    }

    /// Fails the ordered operations once this member can no longer determine whether they will be
    /// committed.
    pub fn abandon_uncommitted(&mut self, outputs: &mut Vec<Output<R>>) {
        let unknown = |uncommitted: UncommittedOperation<R>| Output::Applied {
            token: uncommitted.waiter.token,
            result: Err(ProposalError::OutcomeUnknown),
        };
        outputs.extend(std::mem::take(&mut self.uncommitted).into_iter().map(unknown));
    }

    /// Fails all requests whose deadline has passed. An operation that was only queued has not been applied
    /// and never will be.
    pub fn expire(&mut self, now: Duration, outputs: &mut Vec<Output<R>>) {
        let failed = |token, error| Output::Applied { token, result: Err(error) };
        self.uncommitted.retain(|uncommitted| {
            let is_before_deadline = uncommitted.waiter.deadline > now;
            if !is_before_deadline {
                outputs.push(failed(uncommitted.waiter.token, ProposalError::OutcomeUnknown));
            }
            is_before_deadline
        });
        self.queue.retain(|queued| {
            let is_before_deadline = queued.waiter.deadline > now;
            if !is_before_deadline {
                outputs.push(failed(queued.waiter.token, ProposalError::NotEnoughReplicas));
            }
            is_before_deadline
        });
        self.reads.retain(|read| {
            let is_before_deadline = read.deadline > now;
            if !is_before_deadline {
                let result = Err(ProposalError::OutcomeUnknown);
                outputs.push(Output::Readable { token: read.token, result });
            }
            is_before_deadline
        });
    }
}
