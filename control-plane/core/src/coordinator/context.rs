//! What all parts of a coordinator share: its settings, the chain, the other coordinators that it knows, the calls in flight
//! and the outputs of the current input.

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

/// How long this member's state counts as the newest after its lease was confirmed. Shorter, by more than the quarter that
/// steady clocks may run apart, than the time after which the head excludes a failing member
/// ([`SUSPECT_TIMEOUT`](super::SUSPECT_TIMEOUT), 800 ms) and than the 1000 ms after which a member replaces its head: no view
/// without this member is decided while its lease is valid.
pub const LEASE_DURATION: Duration = Duration::from_millis(600);
/// Time for an operation of this process's own. It is proposed again when it fails, so the bound only limits the queue.
const INTERNAL_OPERATION_TIMEOUT: Duration = Duration::from_secs(2);

/// The shared parts of a coordinator.
pub(super) struct Context<S> {
    pub(super) settings: Settings,
    pub(super) client: ChainClient<ControlState, S, PendingOperation>,
    /// Where coordinators may be found: the seeds, and every member of a view so far.
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

    /// The view that this process knows.
    pub(super) fn view(&self) -> &View {
        self.chain().replica().view()
    }

    /// The identity of this process.
    pub(super) fn identity(&self) -> u64 {
        self.chain().replica().identity()
    }

    /// Disks that must hold everything that was acknowledged.
    pub(super) fn min_replicas(&self) -> usize {
        self.settings.tolerated_machines + 1
    }

    /// Whether this process's state is the newest, by its lease.
    pub(super) fn has_valid_lease(&self, now: Duration) -> bool {
        self.chain().lease_confirmed_at().is_some_and(|confirmed_at| now < confirmed_at + LEASE_DURATION)
    }

    /// Whether this process is the head with a valid lease, and so may act for the whole chain.
    pub(super) fn is_leading(&self, now: Duration) -> bool {
        self.chain().is_head() && self.has_valid_lease(now)
    }

    /// The addresses of the members.
    pub(super) fn member_addresses(&self) -> Vec<SocketAddr> {
        self.view().members.iter().map(|member| member.address).collect()
    }

    /// Where coordinators may be found, without this one, in ascending order.
    pub(super) fn other_coordinators(&self) -> Vec<SocketAddr> {
        let mut others = self.coordinator_addresses.clone();
        others.extend(self.member_addresses());
        others.extend(self.view().voters.iter().map(|voter| voter.address));
        others.sort_unstable();
        others.dedup();
        others.retain(|address| *address != self.settings.address);
        others
    }

    /// Installs a view unless it is older than the one known, and remembers where its members and voters are found.
    pub(super) fn install_view(&mut self, view: &View) {
        self.chain_mut().install_view(view);
        for address in view.members.iter().chain(&view.voters).map(|member| member.address) {
            if !self.coordinator_addresses.contains(&address) {
                self.coordinator_addresses.push(address);
            }
        }
    }

    pub(super) fn answer(&mut self, token: Token, reply: CoordinatorReply) {
        self.outputs.push(Output::Answer { token, reply });
    }

    pub(super) fn answer_operator(&mut self, token: Token, reply: Reply) {
        self.outputs.push(Output::AnswerOperator { token, reply });
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

    /// Notifies another coordinator. A lost notification is made up for by a later one, so its reply is ignored.
    pub(super) fn notify(&mut self, to: SocketAddr, request: CoordinatorRequest, timeout: Duration) {
        self.call(to, request, timeout, CallPurpose::Notification);
    }

    /// Proposes an operation of this process's own.
    pub(super) fn propose_internal(
        &mut self,
        now: Duration,
        operation: Operation,
        purpose: PendingOperation,
    ) {
        self.client.propose(operation, purpose, now + INTERNAL_OPERATION_TIMEOUT);
    }
}
