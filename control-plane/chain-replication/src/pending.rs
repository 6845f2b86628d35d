//! Operations and reads whose submitters wait: queued, then uncommitted, then acknowledged, each with its deadline.

use crate::error::ProposalError;
use crate::output::{Output, Token};
use std::collections::VecDeque;
use std::time::Duration;

/// Large operations of one entry, in bytes; an operation that is larger alone has an entry of its own.
const MAX_ENTRY_BYTES: usize = 512 << 10;
/// An operation below this size does not count as large, in bytes.
const LARGE_OPERATION_BYTES: usize = 16 << 10;

/// Who waits for a result, and until when.
#[derive(Clone, Copy)]
pub(crate) struct Waiter {
    pub token: Token,
    pub deadline: Duration,
}

/// An operation that the head has yet to order.
pub(crate) struct QueuedOperation<O> {
    pub waiter: Waiter,
    pub operation: O,
}

/// An operation that the head has ordered and that not every member is known to have.
pub(crate) struct UncommittedOperation<R> {
    pub waiter: Waiter,
    /// Index of the entry that contains it.
    pub index: u64,
    pub output: R,
}

/// What waits at the head. Reads that a round in flight is to confirm are kept with that round.
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

    /// The earliest deadline; `None` where nothing waits.
    pub fn next_deadline(&self) -> Option<Duration> {
        let queued = self.queue.iter().map(|queued| queued.waiter.deadline);
        let uncommitted = self.uncommitted.iter().map(|uncommitted| uncommitted.waiter.deadline);
        let reads = self.reads.iter().map(|read| read.deadline);
        queued.chain(uncommitted).chain(reads).min()
    }

    /// Removes the operations of one entry from the queue: all small ones, and large ones as far as they fit.
    pub fn take_batch(&mut self, size_of: impl Fn(&O) -> usize) -> Vec<QueuedOperation<O>> {
        let mut bytes = 0;
        let fits = |queued: &QueuedOperation<O>| {
            let size = size_of(&queued.operation);
            // Small operations do not wait for large ones; of the large ones the first always fits.
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

    /// Fails everything that was queued and never ordered.
    pub fn reject_queued(&mut self, error: &ProposalError, outputs: &mut Vec<Output<R>>) {
        let rejected = |queued: QueuedOperation<O>| Output::Applied {
            token: queued.waiter.token,
            result: Err(error.clone()),
        };
        outputs.extend(std::mem::take(&mut self.queue).into_iter().map(rejected));
    }

    /// Fails what was ordered here when this member can no longer tell whether it will be committed.
    pub fn abandon_uncommitted(&mut self, outputs: &mut Vec<Output<R>>) {
        let unknown = |uncommitted: UncommittedOperation<R>| Output::Applied {
            token: uncommitted.waiter.token,
            result: Err(ProposalError::OutcomeUnknown),
        };
        outputs.extend(std::mem::take(&mut self.uncommitted).into_iter().map(unknown));
    }

    /// Fails what is past its deadline. What was only queued was not applied, and never will be.
    pub fn expire(&mut self, now: Duration, outputs: &mut Vec<Output<R>>) {
        let failed = |token, error| Output::Applied { token, result: Err(error) };
        self.uncommitted.retain(|uncommitted| {
            let is_live = uncommitted.waiter.deadline > now;
            if !is_live {
                outputs.push(failed(uncommitted.waiter.token, ProposalError::OutcomeUnknown));
            }
            is_live
        });
        self.queue.retain(|queued| {
            let is_live = queued.waiter.deadline > now;
            if !is_live {
                outputs.push(failed(queued.waiter.token, ProposalError::NotEnoughReplicas));
            }
            is_live
        });
        self.reads.retain(|read| {
            let is_live = read.deadline > now;
            if !is_live {
                let result = Err(ProposalError::OutcomeUnknown);
                outputs.push(Output::Readable { token: read.token, result });
            }
            is_live
        });
    }
}
