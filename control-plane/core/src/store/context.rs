//! State shared by all parts of a store: the chain, the calls in flight and the outputs of the current input.

use super::io::Output;
use super::operations::{CallPurpose, PendingOperation};
use crate::chain_client::ChainClient;
use crate::pending_table::PendingTable;
use marblecroft_batch_state::{BatchState, Operation};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{Chain, ProposalError, Token};
use marblecroft_protocol::coordinator::CoordinatorRequest;
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use std::net::SocketAddr;
use std::time::Duration;

/// The chain of the stores.
pub type BatchChain<S> = Chain<BatchState, S>;

/// Timeout of an operation. Longer than the 900 ms after which the coordinators exclude a failed member, so
/// that an operation can still complete after the view change.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Timeout of a read. Shorter than that of an operation, because a read has no effect and can be retried.
const READ_TIMEOUT: Duration = Duration::from_millis(1200);

/// The shared parts of a store.
pub(super) struct Context<S> {
    pub(super) client: ChainClient<BatchState, S, PendingOperation>,
    pub(super) calls: PendingTable<CallPurpose>,
    pub(super) outputs: Vec<Output>,
}

impl<S: Storage> Context<S> {
    pub(super) fn new(chain: BatchChain<S>) -> Context<S> {
        Context { client: ChainClient::new(chain), calls: PendingTable::default(), outputs: Vec::new() }
    }

    pub(super) fn chain(&self) -> &BatchChain<S> {
        &self.client.chain
    }

    pub(super) fn chain_mut(&mut self) -> &mut BatchChain<S> {
        &mut self.client.chain
    }

    /// Returns the batch jobs as of the newest entry on this store's disk.
    pub(super) fn jobs(&self) -> &BatchState {
        self.chain().replica().machine()
    }

    pub(super) fn propose(&mut self, now: Duration, operation: Operation, purpose: PendingOperation) {
        self.client.propose(operation, purpose, now + OPERATION_TIMEOUT);
    }

    pub(super) fn read_index(&mut self, now: Duration, purpose: PendingOperation) {
        self.client.read_index(purpose, now + READ_TIMEOUT);
    }

    pub(super) fn reply(&mut self, token: Token, reply: StoreReply) {
        self.outputs.push(Output::Reply { token, reply });
    }

    pub(super) fn reply_not_head(&mut self, token: Token) {
        let head = self.chain().head_address();
        self.reply(token, StoreReply::NotHead(head));
    }

    pub(super) fn call_store(
        &mut self,
        to: SocketAddr,
        request: StoreRequest,
        timeout: Duration,
        purpose: CallPurpose,
    ) {
        let call = self.calls.insert(purpose);
        self.outputs.push(Output::CallStore { call, to, request, timeout });
    }

    pub(super) fn call_coordinator(
        &mut self,
        to: SocketAddr,
        request: CoordinatorRequest,
        timeout: Duration,
        purpose: CallPurpose,
    ) {
        let call = self.calls.insert(purpose);
        self.outputs.push(Output::CallCoordinator { call, to, request, timeout });
    }
}

/// Returns the reply to a request whose operation or read the chain has rejected.
pub(super) fn rejection_reply(error: ProposalError) -> StoreReply {
    match error {
        ProposalError::NotHead(head) => StoreReply::NotHead(head),
        ProposalError::NotEnoughReplicas => StoreReply::Unavailable,
        ProposalError::OutcomeUnknown => StoreReply::OutcomeUnknown,
    }
}
