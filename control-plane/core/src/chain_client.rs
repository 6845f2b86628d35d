//! A chain, together with the pending operations and reads that this process has submitted to it.

use crate::pending_table::PendingTable;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{Chain, Output, StateMachine, Token};
use std::time::Duration;

/// A chain, and the purpose `P` of each operation or read that this process has submitted to it.
pub(crate) struct ChainClient<M: StateMachine, S, P> {
    pub(crate) chain: Chain<M, S>,
    pending: PendingTable<P>,
}

impl<M: StateMachine, S: Storage, P> ChainClient<M, S, P> {
    pub(crate) fn new(chain: Chain<M, S>) -> ChainClient<M, S, P> {
        ChainClient { chain, pending: PendingTable::default() }
    }

    /// Submits an operation. The chain emits [`Output::Applied`] with its token by `deadline` or soon after.
    pub(crate) fn propose(&mut self, operation: M::Operation, purpose: P, deadline: Duration) {
        let token = self.pending.insert(purpose);
        self.chain.propose(token, operation, deadline);
    }

    /// Submits a linearizable read. The chain emits [`Output::Readable`] with its token.
    pub(crate) fn read_index(&mut self, purpose: P, deadline: Duration) {
        let token = self.pending.insert(purpose);
        self.chain.read_index(token, deadline);
    }

    /// Removes the pending entry of a token that the chain has emitted, and returns its purpose.
    pub(crate) fn complete(&mut self, token: Token) -> Option<P> {
        self.pending.remove(token)
    }

    /// Advances the chain once; returns `None` if it has nothing more to emit at `now`. Handling the outputs
    /// may submit further operations, so callers advance again until this returns `None`.
    pub(crate) fn advance(&mut self, now: Duration) -> Option<Vec<Output<M::Output>>> {
        let mut outputs = Vec::new();
        self.chain.advance(now, &mut outputs);
        (!outputs.is_empty()).then_some(outputs)
    }
}
