//! A coordinator: a member of the chain that keeps the configuration, and where operators, gateways and stores ask.

use crate::list_reader::{ListReader, Step};
use crate::membership::{Membership, TaskCall, MEMBERS_MOST};
use crate::numbered::Numbered;
use crate::operator::{self, Caller, Pending};
use crate::store_views::{Sizes, StoreViews, FIND_HEAD};
use crate::{Node, Time};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{
    Chain, Member, Options, Output as ChainOutput, Position, Refused, Replica, ToSuccessor, Token, View,
};
use marblecroft_control_state::{Control, Operation, Output as Outcome};
use marblecroft_protocol::coordinator::{
    ConfigurationUpdate, CoordinatorReply, CoordinatorRequest, Pull, StoreDirective, StoreReport, Updates,
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
pub const LEASE: Duration = Duration::from_millis(600);
/// A member that fails its part of the rounds for so long is left out.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(800);
/// The longest that a gateway's question is held.
const PULL_MOST: Duration = Duration::from_millis(2000);
/// A question is answered without news after this time where the coordinator is not in touch.
const STALE_PULL: Duration = Duration::from_millis(200);
/// Pause between two looks at the stores.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Time for an operation of this process's own.
const OWN_TIME: Duration = Duration::from_secs(2);

/// The chain of the coordinators.
pub type ControlChain<S> = Chain<Control, S>;

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
    pub reads_list: bool,
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
    List(Option<Vec<Server>>),
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
        within: Duration,
    },
    /// Read the platform's list of servers.
    ReadList,
    /// End the process.
    Exit,
}

/// What a call of this process was made for.
enum CallPurpose {
    Chain(u64),
    Task(TaskCall),
    /// Its answer changes nothing.
    Tell,
}

/// What waits for the chain.
enum Waiting {
    Operator { caller: Caller, pending: Pending },
    ReaderToken { view: u64 },
    Own,
}

/// A gateway's question that is held until there is news.
struct HeldPull {
    token: Token,
    pull: Pull,
    begun: Duration,
    until: Duration,
}

pub struct Coordinator<S> {
    settings: Settings,
    chain: ControlChain<S>,
    /// Where coordinators may be found: the seeds, and whoever was in a view.
    known: Vec<SocketAddr>,
    pub(crate) membership: Membership,
    store_views: StoreViews,
    /// Since when this process is the head in touch, and so the one that stores report to.
    leads_since: Option<Duration>,
    look_at: Duration,
    reader: ListReader,
    waiting: Numbered<Waiting>,
    held: Vec<HeldPull>,
    calls: Numbered<CallPurpose>,
    /// The list of servers that the chain's notice holds, and the notice that it was read from.
    list: (Vec<u8>, Option<ServerList>),
    /// When the last input was taken.
    handled_at: Duration,
    out: Vec<Output>,
}

impl<S: Storage> Coordinator<S> {
    /// A coordinator that starts at `now` with this state.
    pub fn new(settings: Settings, replica: Replica<Control, S>, now: Duration) -> Coordinator<S> {
        let options = Options {
            heartbeat: Duration::from_millis(150),
            member_time: Duration::from_millis(350),
            install_time: Duration::from_secs(3),
            copies: settings.tolerated_machines + 1,
            is_durable: settings.is_durable,
            suspect_after: SUSPECT_AFTER,
        };
        let mut chain = Chain::new(replica, options, settings.session);
        if !settings.is_durable {
            chain.leave();
        }
        Coordinator {
            known: settings.seeds.clone(),
            chain,
            membership: Membership::new(now),
            store_views: StoreViews::default(),
            leads_since: None,
            look_at: now,
            reader: ListReader::default(),
            waiting: Numbered::default(),
            held: Vec::new(),
            calls: Numbered::default(),
            list: (Vec::new(), None),
            handled_at: now,
            out: Vec::new(),
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
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.chain.lease_since().is_some_and(|since| now < since + LEASE)
    }

    /// Whether this process leads, and has done so for long enough to have heard from all stores in touch.
    pub(crate) fn knows_stores(&self, now: Duration) -> bool {
        self.leads_since.is_some_and(|since| now >= since + FIND_HEAD)
    }

    /// Where coordinators may be called, without this one.
    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        let mut others = self.known.clone();
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
    pub(crate) fn learn(&mut self, view: &View) {
        self.chain.learn(view);
        for address in view.members.iter().chain(&view.voters).map(|member| member.address) {
            if !self.known.contains(&address) {
                self.known.push(address);
            }
        }
    }

    /// Ends the process.
    pub(crate) fn exit(&mut self) {
        self.out.push(Output::Exit);
    }

    /// Calls another coordinator.
    fn call(&mut self, to: SocketAddr, request: CoordinatorRequest, within: Duration, purpose: CallPurpose) {
        let call = self.calls.insert(purpose);
        self.out.push(Output::Call { call, to, request, within });
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
    pub(crate) fn tell(&mut self, to: SocketAddr, request: CoordinatorRequest, within: Duration) {
        self.call(to, request, within, CallPurpose::Tell);
    }

    pub(crate) fn submit_for_operator(
        &mut self,
        until: Duration,
        caller: Caller,
        pending: Pending,
        operation: Operation,
    ) {
        let token = self.waiting.insert(Waiting::Operator { caller, pending });
        self.chain.submit(token, operation, until);
    }

    pub(crate) fn read_for_operator(&mut self, until: Duration, caller: Caller, pending: Pending) {
        let token = self.waiting.insert(Waiting::Operator { caller, pending });
        self.chain.begin_read(token, until);
    }

    fn submit_own(&mut self, now: Duration, operation: Operation, waiting: Waiting) {
        let token = self.waiting.insert(waiting);
        self.chain.submit(token, operation, now + OWN_TIME);
    }

    fn take(&mut self, now: Duration, input: Input) {
        match input {
            Input::Request { token, request } => self.take_request(now, token, request),
            Input::Operator { token, call } => {
                if let Some(reply) = self.begin_operator_call(now, token, call) {
                    self.out.push(Output::AnswerOperator { token, reply });
                }
            }
            Input::Reply { call, reply } => self.take_reply(now, call, reply),
            Input::List(servers) => self.take_list(now, servers),
            Input::Terminate => self.terminate(now),
            Input::Wake => {}
        }
    }

    fn answer(&mut self, token: Token, reply: CoordinatorReply) {
        self.out.push(Output::Answer { token, reply });
    }

    fn take_request(&mut self, now: Duration, token: Token, request: CoordinatorRequest) {
        let mut chain_out = Vec::new();
        match request {
            CoordinatorRequest::Append(append) => self.chain.on_append(now, token, &append, &mut chain_out),
            CoordinatorRequest::Install(install) => self.chain.on_install(token, &install, &mut chain_out),
            CoordinatorRequest::Vote(vote) => {
                let reply = self.chain.with_replica(|replica| replica.answer_vote(&vote));
                self.answer(token, CoordinatorReply::Vote(reply));
            }
            CoordinatorRequest::Status => {
                let status = self.chain.status(now);
                self.answer(token, CoordinatorReply::Status(status));
            }
            CoordinatorRequest::Join { member, position } => {
                let reply = self.note_joining(member, position);
                self.answer(token, reply);
            }
            CoordinatorRequest::Leave(identity) => {
                let reply = self.note_leaving(identity);
                self.answer(token, reply);
            }
            CoordinatorRequest::Pull(pull) => {
                let until = now + Duration::from_millis(pull.wait_ms.into()).min(PULL_MOST);
                self.held.push(HeldPull { token, pull, begun: now, until });
            }
            CoordinatorRequest::Report(report) => {
                let reply = self.note_report(now, report);
                self.answer(token, reply);
            }
        }
        self.take_chain(now, chain_out);
    }

    fn take_reply(&mut self, now: Duration, call: u64, reply: Option<CoordinatorReply>) {
        match self.calls.remove(call) {
            Some(CallPurpose::Chain(chain_call)) => {
                let reply = match reply {
                    Some(CoordinatorReply::Append(reply)) => Some(reply),
                    _ => None,
                };
                let mut chain_out = Vec::new();
                self.chain.on_reply(now, chain_call, reply, &mut chain_out);
                self.take_chain(now, chain_out);
            }
            Some(CallPurpose::Task(purpose)) => self.take_task_reply(now, purpose, reply),
            Some(CallPurpose::Tell) | None => {}
        }
    }

    fn take_list(&mut self, now: Duration, servers: Option<Vec<Server>>) {
        if servers.is_none() {
            warn!("the list of servers could not be read");
        }
        let leads = self.chain.is_head() && self.is_fresh(now);
        if let Some(list) = self.reader.note_list(servers).filter(|_| leads) {
            let notice = encode(list);
            self.chain.set_notice(notice);
        }
    }

    /// Carries out what the chain puts out.
    fn take_chain(&mut self, now: Duration, outputs: Vec<ChainOutput<Outcome>>) {
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
                ChainOutput::Finished { token, result } => self.finished(now, token, result),
                ChainOutput::Readable { token, result } => self.readable(now, token, result),
            }
        }
    }

    fn finished(&mut self, now: Duration, token: Token, result: Result<Outcome, Refused>) {
        match self.waiting.remove(token) {
            Some(Waiting::Operator { caller, pending }) => {
                let reply = match result {
                    Ok(output) => self.operator_finished(&pending, &output),
                    Err(refused) => self.refuse_operator(now, &caller, &refused),
                };
                self.out.push(Output::AnswerOperator { token: caller.token, reply });
            }
            Some(Waiting::ReaderToken { view }) => {
                let token = match result {
                    Ok(Outcome::Token(token)) => Some(token),
                    _ => None,
                };
                self.reader.note_token(view, token);
            }
            Some(Waiting::Own) => {
                if let Err(e) = result {
                    warn!("an operation of this process was not carried out: {e}");
                }
            }
            None => {}
        }
    }

    fn readable(&mut self, now: Duration, token: Token, result: Result<(), Refused>) {
        let Some(Waiting::Operator { caller, pending }) = self.waiting.remove(token) else { return };
        match result {
            Ok(()) => {
                if let Some((token, reply)) = self.operator_readable(now, caller, pending) {
                    self.out.push(Output::AnswerOperator { token, reply });
                }
            }
            Err(refused) => {
                let reply = match refused {
                    // Nothing was ordered.
                    Refused::Unknown => Reply::text(503, "the newest state could not be confirmed"),
                    refused => self.refuse_operator(now, &caller, &refused),
                };
                self.out.push(Output::AnswerOperator { token: caller.token, reply });
            }
        }
    }

    fn note_report(&mut self, now: Duration, report: StoreReport) -> CoordinatorReply {
        if !self.chain.is_head() || !self.is_fresh(now) {
            return CoordinatorReply::NotHead(self.chain.head_address());
        }
        let address = report.address;
        self.store_views.note(now, report);
        let view = self.chain.settled().map(|control| control.store_view().clone()).unwrap_or_default();
        CoordinatorReply::Stores(StoreDirective {
            view,
            fetch_from: self.store_views.source_for(address),
            coordinators: self.coordinators(),
        })
    }

    /// Does what is due as the head in touch: names the stores' views, and reads the platform's list.
    fn lead_others(&mut self, now: Duration) {
        if !self.chain.is_head() || !self.is_fresh(now) {
            self.leads_since = None;
            self.reader.stop();
            return;
        }
        if self.leads_since.is_none() {
            self.leads_since = Some(now);
            self.store_views.begin(now);
        }
        if self.settings.reads_list {
            self.step_reader(now);
        }
        if now >= self.look_at {
            self.look_at = now + LOOK_EVERY;
            self.look_at_stores(now);
        }
    }

    fn step_reader(&mut self, now: Duration) {
        let view = self.chain.replica().view().number;
        match self.reader.step(now, view) {
            Step::Wait => {}
            Step::TakeToken => self.submit_own(now, Operation::TakeReader, Waiting::ReaderToken { view }),
            Step::Read => self.out.push(Output::ReadList),
        }
    }

    fn look_at_stores(&mut self, now: Duration) {
        let Some(control) = self.chain.settled() else { return };
        let copies = self.settings.tolerated_machines + 1;
        // One more than there must be, so that the loss of one stops nothing.
        let sizes = Sizes { copies, wanted: copies + 1 };
        let unknown: Vec<String> = self
            .store_views
            .nodes(now)
            .filter(|node| !control.knows_store(node))
            .map(str::to_owned)
            .collect();
        let current = control.store_view().clone();
        let next = self.store_views.next(now, &current, sizes, |node| control.is_retired(node));
        for node in unknown {
            self.submit_own(now, Operation::KnowStore { node }, Waiting::Own);
        }
        if let Some(members) = next {
            let view = View { number: current.number + 1, members, voters: Vec::new() };
            info!("names view {} of the stores: {}", view.number, view.addresses());
            self.submit_own(now, Operation::StoreView(view), Waiting::Own);
        }
    }

    /// Reads the list of servers from the chain's notice, once for each notice.
    fn read_notice(&mut self) {
        if self.list.0 != self.chain.notice() {
            let notice = self.chain.notice().to_vec();
            let list = decode(&notice).ok();
            self.list = (notice, list);
        }
    }

    /// What is newer than what a gateway has.
    fn newer(&self, pull: &Pull) -> Option<Updates> {
        let have = pull.have;
        let control = self.chain.settled()?;
        let list = self.list.1.as_ref();
        let updates = Updates {
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
    fn answer_pulls(&mut self, now: Duration) {
        if self.held.is_empty() {
            return;
        }
        self.read_notice();
        let is_fresh = self.is_fresh(now);
        for held in std::mem::take(&mut self.held) {
            let news = if is_fresh { self.newer(&held.pull) } else { None };
            let patience = if self.settings.is_durable { STALE_PULL } else { Duration::ZERO };
            let over = now >= held.until || (!is_fresh && now >= held.begun + patience);
            match news {
                Some(updates) => self.answer(held.token, CoordinatorReply::Updates(updates)),
                None if over => {
                    let fresh = is_fresh && self.chain.settled().is_some();
                    let updates = Updates { fresh, coordinators: self.coordinators(), ..Updates::default() };
                    self.answer(held.token, CoordinatorReply::Updates(updates));
                }
                None => self.held.push(held),
            }
        }
    }

    /// Who would be a member, and whether this process can take it in.
    fn note_joining(&mut self, member: Member, position: Position) -> CoordinatorReply {
        if !self.chain.is_head() {
            return CoordinatorReply::NotHead(self.chain.head_address());
        }
        self.membership.note_heard(self.handled_at, member.identity);
        if self.chain.replica().view().contains(member.identity) {
            return CoordinatorReply::Noted;
        }
        if self.chain.replica().view().members.len() >= MEMBERS_MOST {
            return CoordinatorReply::Noted;
        }
        if self.chain.replica().entries_since(position).is_none() {
            // It learns first: a member has a vote, and is on the path of every acknowledgement.
            return CoordinatorReply::Learn(self.chain.replica().install_message());
        }
        self.membership.note_joining(member);
        CoordinatorReply::Noted
    }

    fn note_leaving(&mut self, identity: u64) -> CoordinatorReply {
        if !self.chain.is_head() {
            return CoordinatorReply::NotHead(self.chain.head_address());
        }
        self.membership.note_leaving(identity);
        CoordinatorReply::Noted
    }
}

impl<S: Storage> Node for Coordinator<S> {
    type Input = Input;
    type Output = Output;

    fn handle(&mut self, time: Time, input: Input) -> Vec<Output> {
        let now = time.steady;
        self.handled_at = now;
        self.take(now, input);
        self.step_membership(now);
        self.lead_others(now);
        loop {
            let mut chain_out = Vec::new();
            self.chain.pump(now, &mut chain_out);
            if chain_out.is_empty() {
                break;
            }
            self.take_chain(now, chain_out);
        }
        self.answer_pulls(now);
        std::mem::take(&mut self.out)
    }

    fn next_wake(&self) -> Duration {
        let stale_at = |held: &HeldPull| Some(held.begun + STALE_PULL).filter(|at| *at > self.handled_at);
        let pulls = self.held.iter().map(|held| stale_at(held).unwrap_or(held.until).min(held.until)).min();
        self.chain
            .next_wake()
            .min(self.membership.next_wake())
            .min(if self.leads_since.is_some() {
                self.look_at.min(self.reader.next_wake())
            } else {
                Duration::MAX
            })
            .min(pulls.unwrap_or(Duration::MAX))
    }
}
