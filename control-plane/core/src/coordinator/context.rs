//! State shared by all parts of a coordinator: its settings, the chain, the addresses of other coordinators,
//! the calls in flight and the outputs of the current input.

use super::io::Output;
use super::operations::{CallPurpose, PendingOperation};
use super::settings::Settings;
use crate::chain_client::ChainClient;
use crate::pending_table::PendingTable;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{Chain, Token, View};
use marblecroft_control_state::{ControlState, Operation};
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use marblecroft_rpc::http::Reply;
use std::net::SocketAddr;
use std::time::Duration;

/// The chain of the coordinators.
pub type ControlChain<S> = Chain<ControlState, S>;

/// Time after the confirmation of this member's lease during which its state counts as the newest. The head
/// excludes a failing member after [`SUSPECT_TIMEOUT`](super::SUSPECT_TIMEOUT) (800 ms), and a member
/// replaces its head after 1000 ms. Both are more than a quarter longer than the lease, because the rates of
/// monotonic clocks may differ by that much. No view without this member is therefore decided while its lease
/// is valid.
pub const LEASE_DURATION: Duration = Duration::from_millis(600);
/// Timeout of an operation that this process proposes on its own behalf. A failed one is proposed again, so
/// the timeout only bounds the queue.
const INTERNAL_OPERATION_TIMEOUT: Duration = Duration::from_secs(2);

/// The shared parts of a coordinator.
pub(super) struct Context<S> {
    pub(super) settings: Settings,
    pub(super) client: ChainClient<ControlState, S, PendingOperation>,
    /// Known addresses of coordinators: the seeds, and the members and voters of the views seen so far.
    coordinator_addresses: Vec<SocketAddr>,
    pub(super) calls: PendingTable<CallPurpose>,
    pub(super) outputs: Vec<Output>,
}

impl<S: Storage> Context<S> {
    pub(super) fn new(settings: Settings, chain: ControlChain<S>) -> Context<S> {
        Context {
            coordinator_addresses: settings.seeds.clone(),
            client: ChainClient::new(chain),
            calls: PendingTable::default(),
            outputs: Vec::new(),
            settings,
        }
    }

    pub(super) fn chain(&self) -> &ControlChain<S> {
        &self.client.chain
    }

    pub(super) fn chain_mut(&mut self) -> &mut ControlChain<S> {
        &mut self.client.chain
    }

    /// Returns the newest view that this process has installed.
    pub(super) fn view(&self) -> &View {
        self.chain().replica().view()
    }

    /// Returns the identity of this process.
    pub(super) fn identity(&self) -> u64 {
        self.chain().replica().identity()
    }

    /// Returns the number of disks on which an acknowledged operation must be stored.
    pub(super) fn min_replicas(&self) -> usize {
        self.settings.tolerated_machines + 1
    }

    /// Returns whether this process has a valid lease, which guarantees that its state is the newest.
    pub(super) fn has_valid_lease(&self, now: Duration) -> bool {
        self.chain().lease_confirmed_at().is_some_and(|confirmed_at| now < confirmed_at + LEASE_DURATION)
    }

    /// Returns whether this process is the head with a valid lease, so that it may act for the chain.
    pub(super) fn is_leading(&self, now: Duration) -> bool {
        self.chain().is_head() && self.has_valid_lease(now)
    }

    /// Returns the addresses of the members.
    pub(super) fn member_addresses(&self) -> Vec<SocketAddr> {
        self.view().members.iter().map(|member| member.address).collect()
    }

    /// Returns the known addresses of other coordinators, in ascending order.
    pub(super) fn other_coordinators(&self) -> Vec<SocketAddr> {
        let mut others = self.coordinator_addresses.clone();
        others.extend(self.member_addresses());
        others.extend(self.view().voters.iter().map(|voter| voter.address));
        others.sort_unstable();
        others.dedup();
        others.retain(|address| *address != self.settings.address);
        others
    }

    /// Installs a view unless it is older than the current one, and records the addresses of its members and
    /// voters.
    pub(super) fn install_view(&mut self, view: &View) {
        self.chain_mut().install_view(view);
        for address in view.members.iter().chain(&view.voters).map(|member| member.address) {
            if !self.coordinator_addresses.contains(&address) {
                self.coordinator_addresses.push(address);
            }
        }
    }

    pub(super) fn reply(&mut self, token: Token, reply: CoordinatorReply) {
        self.outputs.push(Output::Reply { token, reply });
    }

    pub(super) fn reply_to_operator(&mut self, token: Token, reply: Reply) {
        self.outputs.push(Output::ReplyToOperator { token, reply });
    }

    /// Calls another coordinator.
    pub(super) fn call(
        &mut self,
        to: SocketAddr,
        request: CoordinatorRequest,
        timeout: Duration,
        purpose: CallPurpose,
    ) {
        let call = self.calls.insert(purpose);
        self.outputs.push(Output::Call { call, to, request, timeout });
    }

    /// Notifies another coordinator. The reply is ignored, because a later notification makes up for a lost
    /// one.
    pub(super) fn notify(&mut self, to: SocketAddr, request: CoordinatorRequest, timeout: Duration) {
        self.call(to, request, timeout, CallPurpose::Notification);
    }

    /// Proposes an operation on behalf of this process itself.
    pub(super) fn propose_internal(
        &mut self,
        now: Duration,
        operation: Operation,
        purpose: PendingOperation,
    ) {
        self.client.propose(operation, purpose, now + INTERNAL_OPERATION_TIMEOUT);
    }
}
