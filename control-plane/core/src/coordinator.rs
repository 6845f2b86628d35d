//! A coordinator: a member of the chain that keeps the configuration, and where operators, gateways and stores ask.

use crate::membership::{Membership, TaskCall, MAX_MEMBERS};
use crate::operator::{self, Caller, PendingCall};
use crate::pending_table::PendingTable;
use crate::server_list_reader::{ServerListReader, Step};
use crate::store_views::{ReplicaCounts, StoreViews, HEAD_DISCOVERY_TIME};
use crate::{Node, Time};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{
    Chain, Config, Member, Output as ChainOutput, Position, ProposalError, Replica, ToSuccessor, Token, View,
};
use marblecroft_control_state::{ControlState, Operation, Output as Outcome};
use marblecroft_protocol::coordinator::{
    ConfigurationUpdate, ConfigurationUpdates, CoordinatorReply, CoordinatorRequest, Pull, StoreDirective,
    StoreReport,
};
use marblecroft_protocol::servers::{Server, ServerList};
use marblecroft_rpc::http::Reply;
use marblecroft_rpc::{decode, encode, Bytes};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// How long what a member knows counts as the newest after the time that its lease is counted from. Shorter than the time
/// after which the head leaves out a member that fails ([`SUSPECT_AFTER`]), and than the silence after which a member
/// takes its head for failed: steady clocks may run a quarter apart.
pub const LEASE_DURATION: Duration = Duration::from_millis(600);
/// A member that fails its part of the rounds for so long is left out.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest that a gateway's question is held.
const MAX_PULL_WAIT: Duration = Duration::from_millis(2000);
/// A question is answered without news after this time where the coordinator is not in touch.
const STALE_PULL_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause between two looks at the stores.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for an operation of this process's own.
const INTERNAL_OPERATION_TIMEOUT: Duration = Duration::from_secs(2);

/// The chain of the coordinators.
pub type ControlChain<S> = Chain<ControlState, S>;

/// What a coordinator is told of its deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    pub node_name: String,
    /// Where other processes call it.
    pub address: SocketAddr,
    /// Where other coordinators may be found.
    pub seeds: Vec<SocketAddr>,
    /// The port of the operator's API, the same on all machines.
    pub operator_port: Option<u16>,
    /// Machines with a disk that may be lost at once.
    pub tolerated_machines: usize,
    /// Time from SIGTERM to SIGKILL.
    pub grace_period: Duration,
    /// Whether there is a list of servers to read.
    pub reads_server_list: bool,
    /// Whether its machine has a disk. Without one it sends callers on to the members, and is one itself only as a founder,
    /// until others hold the state.
    pub is_durable: bool,
    /// Drawn by every process anew.
    pub session: u64,
}

#[derive(Debug)]
pub enum Input {
    /// A call of another process.
    Request { token: Token, request: CoordinatorRequest },
    /// A call of the operator's.
    Operator { token: Token, call: operator::Call },
    /// The answer to a call of this process, or that there was none within its time.
    Reply { call: u64, reply: Option<CoordinatorReply> },
    /// The platform's list of servers, or that it could not be read.
    ServerList(Option<Vec<Server>>),
    /// SIGTERM.
    Terminate,
    /// Time has passed.
    Wake,
}

#[derive(Debug)]
pub enum Output {
    Answer {
        token: Token,
        reply: CoordinatorReply,
    },
    AnswerOperator {
        token: Token,
        reply: Reply,
    },
    Call {
        call: u64,
        to: SocketAddr,
        request: CoordinatorRequest,
        timeout: Duration,
    },
    /// Read the platform's list of servers.
    ReadServerList,
    /// End the process.
    Exit,
}

/// What a call of this process was made for.
enum CallPurpose {
    Chain(u64),
    Task(TaskCall),
    /// Its answer changes nothing.
    Notification,
}

/// What waits for the chain.
enum PendingOperation {
    Operator { caller: Caller, pending: PendingCall },
    ReaderToken { view: u64 },
    Internal,
}

/// A gateway's question that is held until there is news.
struct PendingPull {
    token: Token,
    pull: Pull,
    received_at: Duration,
    deadline: Duration,
}

pub struct Coordinator<S> {
    settings: Settings,
    chain: ControlChain<S>,
    /// Where coordinators may be found: the seeds, and whoever was in a view.
    known_addresses: Vec<SocketAddr>,
    pub(crate) membership: Membership,
    store_views: StoreViews,
    /// Since when this process is the head in touch, and so the one that stores report to.
    leading_since: Option<Duration>,
    next_store_check_at: Duration,
    server_list_reader: ServerListReader,
    pending_operations: PendingTable<PendingOperation>,
    pending_pulls: Vec<PendingPull>,
    pending_calls: PendingTable<CallPurpose>,
    /// The list of servers that the chain's notice holds, and the notice that it was read from.
    list: (Vec<u8>, Option<ServerList>),
    /// When the last input was taken.
    last_input_at: Duration,
    outputs: Vec<Output>,
}

impl<S: Storage> Coordinator<S> {
    /// A coordinator that starts at `now` with this state.
    pub fn new(settings: Settings, replica: Replica<ControlState, S>, now: Duration) -> Coordinator<S> {
        let options = Config {
            heartbeat_interval: Duration::from_millis(150),
            append_timeout: Duration::from_millis(350),
            install_timeout: Duration::from_secs(3),
            min_replicas: settings.tolerated_machines + 1,
            is_durable: settings.is_durable,
            suspect_timeout: SUSPECT_TIMEOUT,
        };
        let mut chain = Chain::new(replica, options, settings.session);
        if !settings.is_durable {
            chain.start_draining();
        }
        Coordinator {
            known_addresses: settings.seeds.clone(),
            chain,
            membership: Membership::new(now),
            store_views: StoreViews::default(),
            leading_since: None,
            next_store_check_at: now,
            server_list_reader: ServerListReader::default(),
            pending_operations: PendingTable::default(),
            pending_pulls: Vec::new(),
            pending_calls: PendingTable::default(),
            list: (Vec::new(), None),
            last_input_at: now,
            outputs: Vec::new(),
            settings,
        }
    }

    pub fn chain(&self) -> &ControlChain<S> {
        &self.chain
    }

    pub(crate) fn chain_mut(&mut self) -> &mut ControlChain<S> {
        &mut self.chain
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(crate) fn store_views(&self) -> &StoreViews {
        &self.store_views
    }

    /// Whether what this process holds was the newest within the lease.
    pub fn has_valid_lease(&self, now: Duration) -> bool {
        self.chain.lease_confirmed_at().is_some_and(|since| now < since + LEASE_DURATION)
    }

    /// Whether this process leads, and has done so for long enough to have heard from all stores in touch.
    pub(crate) fn has_heard_all_stores(&self, now: Duration) -> bool {
        self.leading_since.is_some_and(|since| now >= since + HEAD_DISCOVERY_TIME)
    }

    /// Where coordinators may be called, without this one.
    pub(crate) fn other_coordinators(&self) -> Vec<SocketAddr> {
        let mut others = self.known_addresses.clone();
        others.extend(self.coordinators());
        others.extend(self.chain.replica().view().voters.iter().map(|voter| voter.address));
        others.sort_unstable();
        others.dedup();
        others.retain(|address| *address != self.settings.address);
        others
    }

    fn coordinators(&self) -> Vec<SocketAddr> {
        self.chain.replica().view().members.iter().map(|member| member.address).collect()
    }

    /// Takes notice of a view, and of where its members are found.
    pub(crate) fn install_view(&mut self, view: &View) {
        self.chain.install_view(view);
        for address in view.members.iter().chain(&view.voters).map(|member| member.address) {
            if !self.known_addresses.contains(&address) {
                self.known_addresses.push(address);
            }
        }
    }

    /// Ends the process.
    pub(crate) fn exit(&mut self) {
        self.outputs.push(Output::Exit);
    }

    /// Calls another coordinator.
    fn call(&mut self, to: SocketAddr, request: CoordinatorRequest, within: Duration, purpose: CallPurpose) {
        let call = self.pending_calls.insert(purpose);
        self.outputs.push(Output::Call { call, to, request, timeout: within });
    }

    /// Calls another coordinator for the membership's task under way.
    pub(crate) fn call_for_task(
        &mut self,
        to: SocketAddr,
        request: CoordinatorRequest,
        within: Duration,
        purpose: TaskCall,
    ) {
        self.call(to, request, within, CallPurpose::Task(purpose));
    }

    /// Tells another coordinator something; whether it hears it changes nothing here.
    pub(crate) fn notify(&mut self, to: SocketAddr, request: CoordinatorRequest, within: Duration) {
        self.call(to, request, within, CallPurpose::Notification);
    }

    pub(crate) fn propose_for_operator(
        &mut self,
        until: Duration,
        caller: Caller,
        pending: PendingCall,
        operation: Operation,
    ) {
        let token = self.pending_operations.insert(PendingOperation::Operator { caller, pending });
        self.chain.propose(token, operation, until);
    }

    pub(crate) fn read_for_operator(&mut self, until: Duration, caller: Caller, pending: PendingCall) {
        let token = self.pending_operations.insert(PendingOperation::Operator { caller, pending });
        self.chain.read_index(token, until);
    }

    fn propose_internal(&mut self, now: Duration, operation: Operation, waiting: PendingOperation) {
        let token = self.pending_operations.insert(waiting);
        self.chain.propose(token, operation, now + INTERNAL_OPERATION_TIMEOUT);
    }

    fn handle_input(&mut self, now: Duration, input: Input) {
        match input {
            Input::Request { token, request } => self.handle_request(now, token, request),
            Input::Operator { token, call } => {
                if let Some(reply) = self.handle_operator_call(now, token, call) {
                    self.outputs.push(Output::AnswerOperator { token, reply });
                }
            }
            Input::Reply { call, reply } => self.handle_reply(now, call, reply),
            Input::ServerList(servers) => self.handle_server_list(now, servers),
            Input::Terminate => self.terminate(now),
            Input::Wake => {}
        }
    }

    fn answer(&mut self, token: Token, reply: CoordinatorReply) {
        self.outputs.push(Output::Answer { token, reply });
    }

    fn handle_request(&mut self, now: Duration, token: Token, request: CoordinatorRequest) {
        let mut chain_out = Vec::new();
        match request {
            CoordinatorRequest::Append(append) => {
                self.chain.handle_append(now, token, &append, &mut chain_out)
            }
            CoordinatorRequest::Install(install) => {
                self.chain.handle_install(token, &install, &mut chain_out)
            }
            CoordinatorRequest::Vote(vote) => {
                let reply = self.chain.with_replica(|replica| replica.handle_vote_request(&vote));
                self.answer(token, CoordinatorReply::Vote(reply));
            }
            CoordinatorRequest::Status => {
                let status = self.chain.status(now);
                self.answer(token, CoordinatorReply::Status(status));
            }
            CoordinatorRequest::Join { member, position } => {
                let reply = self.handle_join(member, position);
                self.answer(token, reply);
            }
            CoordinatorRequest::Leave(identity) => {
                let reply = self.handle_leave(identity);
                self.answer(token, reply);
            }
            CoordinatorRequest::Pull(pull) => {
                let until = now + Duration::from_millis(pull.wait_ms.into()).min(MAX_PULL_WAIT);
                self.pending_pulls.push(PendingPull { token, pull, received_at: now, deadline: until });
            }
            CoordinatorRequest::Report(report) => {
                let reply = self.handle_store_report(now, report);
                self.answer(token, reply);
            }
        }
        self.handle_chain_outputs(now, chain_out);
    }

    fn handle_reply(&mut self, now: Duration, call: u64, reply: Option<CoordinatorReply>) {
        match self.pending_calls.remove(call) {
            Some(CallPurpose::Chain(chain_call)) => {
                let reply = match reply {
                    Some(CoordinatorReply::Append(reply)) => Some(reply),
                    _ => None,
                };
                let mut chain_out = Vec::new();
                self.chain.handle_reply(now, chain_call, reply, &mut chain_out);
                self.handle_chain_outputs(now, chain_out);
            }
            Some(CallPurpose::Task(purpose)) => self.handle_task_reply(now, purpose, reply),
            Some(CallPurpose::Notification) | None => {}
        }
    }

    fn handle_server_list(&mut self, now: Duration, servers: Option<Vec<Server>>) {
        if servers.is_none() {
            warn!("the list of servers could not be read");
        }
        let leads = self.chain.is_head() && self.has_valid_lease(now);
        if let Some(list) = self.server_list_reader.on_list(servers).filter(|_| leads) {
            let notice = encode(list);
            self.chain.set_broadcast(notice);
        }
    }

    /// Carries out what the chain puts out.
    fn handle_chain_outputs(&mut self, now: Duration, outputs: Vec<ChainOutput<Outcome>>) {
        for output in outputs {
            match output {
                ChainOutput::Call { call, to, message, within } => {
                    let request = match message {
                        ToSuccessor::Append(append) => CoordinatorRequest::Append(append),
                        ToSuccessor::Install(install) => CoordinatorRequest::Install(install),
                    };
                    self.call(to.address, request, within, CallPurpose::Chain(call));
                }
                ChainOutput::Reply { token, reply } => self.answer(token, CoordinatorReply::Append(reply)),
                ChainOutput::Applied { token, result } => self.on_applied(now, token, result),
                ChainOutput::Readable { token, result } => self.on_readable(now, token, result),
            }
        }
    }

    fn on_applied(&mut self, now: Duration, token: Token, result: Result<Outcome, ProposalError>) {
        match self.pending_operations.remove(token) {
            Some(PendingOperation::Operator { caller, pending }) => {
                let reply = match result {
                    Ok(output) => self.applied_reply(&pending, &output),
                    Err(refused) => self.rejection_reply(now, &caller, &refused),
                };
                self.outputs.push(Output::AnswerOperator { token: caller.token, reply });
            }
            Some(PendingOperation::ReaderToken { view }) => {
                let token = match result {
                    Ok(Outcome::Token(token)) => Some(token),
                    _ => None,
                };
                self.server_list_reader.on_token(view, token);
            }
            Some(PendingOperation::Internal) => {
                if let Err(e) = result {
                    warn!("an operation of this process was not carried out: {e}");
                }
            }
            None => {}
        }
    }

    fn on_readable(&mut self, now: Duration, token: Token, result: Result<(), ProposalError>) {
        let Some(PendingOperation::Operator { caller, pending }) = self.pending_operations.remove(token)
        else {
            return;
        };
        match result {
            Ok(()) => {
                if let Some((token, reply)) = self.on_operator_readable(now, caller, pending) {
                    self.outputs.push(Output::AnswerOperator { token, reply });
                }
            }
            Err(refused) => {
                let reply = match refused {
                    // Nothing was ordered.
                    ProposalError::OutcomeUnknown => {
                        Reply::text(503, "the newest state could not be confirmed")
                    }
                    refused => self.rejection_reply(now, &caller, &refused),
                };
                self.outputs.push(Output::AnswerOperator { token: caller.token, reply });
            }
        }
    }

    fn handle_store_report(&mut self, now: Duration, report: StoreReport) -> CoordinatorReply {
        if !self.chain.is_head() || !self.has_valid_lease(now) {
            return CoordinatorReply::NotHead(self.chain.head_address());
        }
        let address = report.address;
        self.store_views.record_report(now, report);
        let view =
            self.chain.committed_machine().map(|control| control.store_view().clone()).unwrap_or_default();
        CoordinatorReply::Stores(StoreDirective {
            view,
            fetch_from: self.store_views.fetch_source_for(address),
            coordinators: self.coordinators(),
        })
    }

    /// Does what is due as the head in touch: names the stores' views, and reads the platform's list.
    fn perform_leader_duties(&mut self, now: Duration) {
        if !self.chain.is_head() || !self.has_valid_lease(now) {
            self.leading_since = None;
            self.server_list_reader.stop();
            return;
        }
        if self.leading_since.is_none() {
            self.leading_since = Some(now);
            self.store_views.reset(now);
        }
        if self.settings.reads_server_list {
            self.advance_server_list_reader(now);
        }
        if now >= self.next_store_check_at {
            self.next_store_check_at = now + STORE_CHECK_INTERVAL;
            self.check_store_view(now);
        }
    }

    fn advance_server_list_reader(&mut self, now: Duration) {
        let view = self.chain.replica().view().number;
        match self.server_list_reader.step(now, view) {
            Step::Wait => {}
            Step::RequestToken => self.propose_internal(
                now,
                Operation::IssueReaderToken,
                PendingOperation::ReaderToken { view },
            ),
            Step::Read => self.outputs.push(Output::ReadServerList),
        }
    }

    fn check_store_view(&mut self, now: Duration) {
        let Some(control) = self.chain.committed_machine() else { return };
        let copies = self.settings.tolerated_machines + 1;
        // One more than there must be, so that the loss of one stops nothing.
        let sizes = ReplicaCounts { min_replicas: copies, target_replicas: copies + 1 };
        let unknown: Vec<String> = self
            .store_views
            .live_node_names(now)
            .filter(|node| !control.is_registered_store(node))
            .map(str::to_owned)
            .collect();
        let current = control.store_view().clone();
        let next = self.store_views.next_view_members(now, &current, sizes, |node| control.is_retired(node));
        for node in unknown {
            self.propose_internal(now, Operation::RegisterStore { node }, PendingOperation::Internal);
        }
        if let Some(members) = next {
            let view = View { number: current.number + 1, members, voters: Vec::new() };
            info!("names view {} of the stores: {}", view.number, view.addresses());
            self.propose_internal(now, Operation::InstallStoreView(view), PendingOperation::Internal);
        }
    }

    /// Reads the list of servers from the chain's notice, once for each notice.
    fn refresh_server_list(&mut self) {
        if self.list.0 != self.chain.broadcast() {
            let notice = self.chain.broadcast().to_vec();
            let list = decode(&notice).ok();
            self.list = (notice, list);
        }
    }

    /// What is newer than what a gateway has.
    fn updates_for(&self, pull: &Pull) -> Option<ConfigurationUpdates> {
        let have = pull.known_versions;
        let control = self.chain.committed_machine()?;
        let list = self.list.1.as_ref();
        let updates = ConfigurationUpdates {
            fresh: true,
            configuration: (control.sequence() > have.configuration).then(|| ConfigurationUpdate {
                sequence: control.sequence(),
                body: Bytes(control.body().unwrap_or_default().to_vec()),
            }),
            servers: list.filter(|list| list.version > have.servers).cloned(),
            stores: (control.store_view().number > have.stores).then(|| control.store_view().clone()),
            coordinators: self.coordinators(),
        };
        let news = updates.configuration.is_some() || updates.servers.is_some() || updates.stores.is_some();
        news.then_some(updates)
    }

    /// Answers the questions for which there is news, or that were held long enough.
    fn answer_pending_pulls(&mut self, now: Duration) {
        if self.pending_pulls.is_empty() {
            return;
        }
        self.refresh_server_list();
        let is_fresh = self.has_valid_lease(now);
        for held in std::mem::take(&mut self.pending_pulls) {
            let news = if is_fresh { self.updates_for(&held.pull) } else { None };
            let patience = if self.settings.is_durable { STALE_PULL_TIMEOUT } else { Duration::ZERO };
            let over = now >= held.deadline || (!is_fresh && now >= held.received_at + patience);
            match news {
                Some(updates) => self.answer(held.token, CoordinatorReply::Updates(updates)),
                None if over => {
                    let fresh = is_fresh && self.chain.committed_machine().is_some();
                    let updates = ConfigurationUpdates {
                        fresh,
                        coordinators: self.coordinators(),
                        ..ConfigurationUpdates::default()
                    };
                    self.answer(held.token, CoordinatorReply::Updates(updates));
                }
                None => self.pending_pulls.push(held),
            }
        }
    }

    /// Who would be a member, and whether this process can take it in.
    fn handle_join(&mut self, member: Member, position: Position) -> CoordinatorReply {
        if !self.chain.is_head() {
            return CoordinatorReply::NotHead(self.chain.head_address());
        }
        self.membership.record_contact(self.last_input_at, member.identity);
        if self.chain.replica().view().contains(member.identity) {
            return CoordinatorReply::Acknowledged;
        }
        if self.chain.replica().view().members.len() >= MAX_MEMBERS {
            return CoordinatorReply::Acknowledged;
        }
        if self.chain.replica().entries_since(position).is_none() {
            // It learns first: a member has a vote, and is on the path of every acknowledgement.
            return CoordinatorReply::InstallFirst(self.chain.replica().snapshot_message());
        }
        self.membership.record_join_request(member);
        CoordinatorReply::Acknowledged
    }

    fn handle_leave(&mut self, identity: u64) -> CoordinatorReply {
        if !self.chain.is_head() {
            return CoordinatorReply::NotHead(self.chain.head_address());
        }
        self.membership.record_leave_request(identity);
        CoordinatorReply::Acknowledged
    }
}

impl<S: Storage> Node for Coordinator<S> {
    type Input = Input;
    type Output = Output;

    fn handle(&mut self, time: Time, input: Input) -> Vec<Output> {
        let now = time.monotonic;
        self.last_input_at = now;
        self.handle_input(now, input);
        self.step_membership(now);
        self.perform_leader_duties(now);
        loop {
            let mut chain_out = Vec::new();
            self.chain.advance(now, &mut chain_out);
            if chain_out.is_empty() {
                break;
            }
            self.handle_chain_outputs(now, chain_out);
        }
        self.answer_pending_pulls(now);
        std::mem::take(&mut self.outputs)
    }

    fn next_wake(&self) -> Duration {
        let stale_at = |held: &PendingPull| {
            Some(held.received_at + STALE_PULL_TIMEOUT).filter(|at| *at > self.last_input_at)
        };
        let pulls = self
            .pending_pulls
            .iter()
            .map(|held| stale_at(held).unwrap_or(held.deadline).min(held.deadline))
            .min();
        self.chain
            .next_wake()
            .min(self.membership.next_wake())
            .min(if self.leading_since.is_some() {
                self.next_store_check_at.min(self.server_list_reader.next_wake())
            } else {
                Duration::MAX
            })
            .min(pulls.unwrap_or(Duration::MAX))
    }
}
