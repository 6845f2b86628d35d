//! A member among others, as a state machine without I/O: the head's rounds, what a member passes on, and who is suspected.
//!
//! The caller hands in messages, answers to its calls and the time, and carries out the [`Output`]s. A round takes the
//! operations that wait, puts them on this member's disk as one entry, and passes them down the chain; once the tail has
//! them the whole chain has, and whoever waits is answered. A round without operations is a heartbeat, and what confirms
//! that a reading is the newest: it begins after the question came, and every member takes part in it.
//!
//! **Lease.** A member that has handled round n at a time of its own clock, and later hears from the head that round n went
//! through the whole chain, knows that every member was still in the view at that time. [`Chain::lease_since`] is that
//! time: nothing was acknowledged in a later view before it.

use crate::message::{Append, AppendReply, Install, Round, Status};
use crate::replica::{AppendOutcome, Position, Replica, StateMachine};
use crate::storage::Storage;
use crate::view::{Member, View};
use marblecroft_rpc::Bytes;
use quick_error::quick_error;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// Times that a member's position is asked for anew in one round before it counts as failed.
const MAX_APPEND_ATTEMPTS: usize = 4;
/// Operations of one round, in bytes; one that is larger has a round of its own.
const MAX_ENTRY_BYTES: usize = 512 << 10;
/// An operation below this size does not count as large, in bytes.
const LARGE_OPERATION_BYTES: usize = 16 << 10;
/// Pause after a round that did not go through the chain.
const RETRY_BACKOFF: Duration = Duration::from_millis(40);
/// Rounds whose time of handling is kept until the head confirms them.
const MAX_HANDLED_ROUNDS: usize = 16;

/// Names a request for whoever handed it in.
pub type Token = u64;

/// How a chain behaves in time.
#[derive(Clone, Debug)]
pub struct Config {
    /// Pause between two rounds without operations.
    pub heartbeat_interval: Duration,
    /// Time for one member's part of a round.
    pub append_timeout: Duration,
    /// Time for sending a whole state.
    pub install_timeout: Duration,
    /// Disks that an operation must be on before it is acknowledged.
    pub min_replicas: usize,
    /// Whether this member's storage outlives its process.
    pub is_durable: bool,
    /// A member that fails its part for so long is suspected. Longer than any lease: see [`Chain::lease_since`].
    pub suspect_timeout: Duration,
}

quick_error! {
    /// Why an operation has no result; it says whether the operation may have been carried out.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ProposalError {
        /// Another process is the head, or none is known.
        NotHead(head: Option<SocketAddr>) {
            display("another process is the head")
        }
        /// Too few members are left to take operations.
        NotEnoughReplicas {
            display("too few copies would be made")
        }
        /// It may have been carried out, and may be later.
        OutcomeUnknown {
            display("outcome unknown")
        }
    }
}

/// A message to the member that follows.
#[derive(Clone, Debug, PartialEq)]
pub enum ToSuccessor {
    Append(Append),
    Install(Install),
}

/// What the caller is to do. Outputs are carried out in order, and [`Output::Readable`] before [`Chain::pump`] is called
/// again.
#[derive(Debug)]
pub enum Output<O> {
    /// Send this, and hand in the answer, or that none came within the time, with [`Chain::on_reply`].
    Call { call: u64, to: Member, message: ToSuccessor, within: Duration },
    /// Answer a message that was handed in.
    Reply { token: Token, reply: AppendReply },
    /// What became of an operation.
    Applied { token: Token, result: Result<O, ProposalError> },
    /// The state is the newest that was acknowledged, or why it may not be read.
    Readable { token: Token, result: Result<(), ProposalError> },
}

/// An operation that waits to be ordered.
struct QueuedOperation<O> {
    token: Token,
    operation: O,
    deadline: Duration,
}

/// An operation that was ordered and is not yet held by the whole chain.
struct UncommittedOperation<O> {
    token: Token,
    /// The entry that holds it.
    index: u64,
    output: O,
    deadline: Duration,
}

/// A reading that waits for a round.
struct PendingRead {
    token: Token,
    deadline: Duration,
}

/// A call to the member that follows, and who waits for it.
struct InFlightAppend {
    call: u64,
    view: u64,
    restore_count: u64,
    position: Position,
    successor: Member,
    /// When the round was begun here.
    started_at: Duration,
    is_install: bool,
    reads: Vec<PendingRead>,
    /// Messages of the member before this one that are answered with its outcome.
    upstream_tokens: Vec<Token>,
}

/// What the members from one on are known to hold.
struct DownstreamProgress {
    /// When the round was begun at this member.
    started_at: Duration,
    position: Position,
    /// Disks that hold it, of the members that follow.
    durable_replicas_downstream: usize,
}

/// Where a round failed.
enum Failure {
    Member(SocketAddr),
    /// There is a newer view.
    NewerView,
}

/// What this member was when it was last looked at.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Role {
    view: u64,
    is_head: bool,
    restore_count: u64,
}

/// Rounds that this member has handled, of one session in one view.
#[derive(Default)]
struct HandledRounds {
    view: u64,
    session: u64,
    /// Number and time.
    rounds: VecDeque<(u64, Duration)>,
}

/// A member of a chain.
pub struct Chain<M: StateMachine, S> {
    replica: Replica<M, S>,
    config: Config,
    queue: VecDeque<QueuedOperation<M::Operation>>,
    uncommitted: VecDeque<UncommittedOperation<M::Output>>,
    reads: Vec<PendingRead>,
    upstream_tokens: Vec<Token>,
    in_flight: Option<InFlightAppend>,
    last_call: u64,
    append_attempts: usize,
    round: Round,
    /// The round that this member passes on, where it is not the head.
    forwarded_round: Round,
    next_heartbeat_at: Duration,
    next_attempt_at: Duration,
    role: Role,
    handled_rounds: HandledRounds,
    lease_confirmed_at: Option<Duration>,
    last_committed_round_at: Option<Duration>,
    last_append_received_at: Option<Duration>,
    failing_member: Option<(SocketAddr, Duration)>,
    /// The positions at which other members were last known to be.
    peer_positions: HashMap<u64, Position>,
    broadcast: Bytes,
    draining: bool,
}

impl<M: StateMachine, S: Storage> Chain<M, S> {
    /// A member with this state. `session` is drawn anew by every process.
    pub fn new(replica: Replica<M, S>, config: Config, session: u64) -> Chain<M, S> {
        let role = role_of(&replica);
        Chain {
            replica,
            config,
            queue: VecDeque::new(),
            uncommitted: VecDeque::new(),
            reads: Vec::new(),
            upstream_tokens: Vec::new(),
            in_flight: None,
            last_call: 0,
            append_attempts: 0,
            round: Round { session, ..Round::default() },
            forwarded_round: Round::default(),
            next_heartbeat_at: Duration::ZERO,
            next_attempt_at: Duration::ZERO,
            role,
            handled_rounds: HandledRounds::default(),
            lease_confirmed_at: None,
            last_committed_round_at: None,
            last_append_received_at: None,
            failing_member: None,
            peer_positions: HashMap::new(),
            broadcast: Bytes::default(),
            draining: false,
        }
    }

    /// The process is about to end: from now on it has no lease, and its status says so.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// This member's state.
    pub fn replica(&self) -> &Replica<M, S> {
        &self.replica
    }

    /// The state machine if the whole chain is known to hold its state.
    pub fn committed_machine(&self) -> Option<&M> {
        self.replica.is_committed().then(|| self.replica.machine())
    }

    /// What this member says of itself.
    pub fn status(&self, now: Duration) -> Status {
        let failing = self.failing_member.filter(|failing| now >= failing.1 + self.config.suspect_timeout);
        Status {
            identity: self.replica.identity(),
            view: self.replica.view().clone(),
            complete: self.replica.is_complete(),
            position: self.replica.position(),
            committed: self.replica.is_committed(),
            suspect: failing.map(|failing| failing.0),
            draining: self.draining,
        }
    }

    pub fn is_head(&self) -> bool {
        self.replica.is_head()
    }

    /// Where the head of the newest known view is called.
    pub fn head_address(&self) -> Option<SocketAddr> {
        self.replica.view().head().map(|head| head.address)
    }

    /// The newest time at which every member was in this member's view, as far as is known here. Nothing was acknowledged in
    /// a later view before it. `None` where this process is no complete member, or is about to leave.
    pub fn lease_confirmed_at(&self) -> Option<Duration> {
        let holds = self.replica.is_complete() && self.replica.view().contains(self.replica.identity());
        self.lease_confirmed_at.filter(|_| holds && !self.draining)
    }

    /// When the chain was last known to be whole here.
    pub fn last_committed_round_at(&self) -> Option<Duration> {
        self.last_committed_round_at
    }

    /// When anything of the chain was heard here.
    pub fn last_append_received_at(&self) -> Option<Duration> {
        self.last_append_received_at
    }

    /// The volatile data that the head gave last.
    pub fn broadcast(&self) -> &[u8] {
        &self.broadcast.0
    }

    /// Sets the data that the head gives to all members.
    pub fn set_broadcast(&mut self, notice: Vec<u8>) {
        self.broadcast = Bytes(notice);
    }

    /// Changes this member's durable state outside the chain's own messages: a vote, a view that was learnt, a state that
    /// was fetched.
    pub fn with_replica<R>(&mut self, f: impl FnOnce(&mut Replica<M, S>) -> R) -> R {
        f(&mut self.replica)
    }

    /// Takes notice of a view.
    pub fn install_view(&mut self, view: &View) {
        match self.replica.install_view(view) {
            Ok(true) => info!("view {} with {}", view.number, view.addresses()),
            Ok(false) => {}
            Err(e) => warn!("a view could not be kept: {e}"),
        }
    }

    /// Has an operation carried out and acknowledged by the whole chain. It may still be carried out after `until`, when it
    /// is answered with [`Refused::Unknown`].
    pub fn propose(&mut self, token: Token, operation: M::Operation, until: Duration) {
        self.queue.push_back(QueuedOperation { token, operation, deadline: until });
    }

    /// Waits for a round that begins after this call, and confirms by it that this member's state is the newest.
    pub fn read_index(&mut self, token: Token, until: Duration) {
        self.reads.push(PendingRead { token, deadline: until });
    }

    /// When [`Chain::pump`] has something to do without further input.
    pub fn next_wake(&self) -> Duration {
        let untils = self.queue.iter().map(|queued| queued.deadline);
        let untils = untils.chain(self.uncommitted.iter().map(|ordered| ordered.deadline));
        let untils = untils.chain(self.reads.iter().map(|reading| reading.deadline));
        let first_until = untils.min().unwrap_or(Duration::MAX);
        if self.in_flight.is_some() || !self.is_head() {
            return first_until;
        }
        let next_round = if self.has_pending_work() { self.next_attempt_at } else { self.next_heartbeat_at };
        next_round.min(first_until)
    }

    fn has_pending_work(&self) -> bool {
        !self.queue.is_empty() || !self.uncommitted.is_empty() || !self.reads.is_empty()
    }

    /// Begins what is due. Called after every input, until it puts nothing more out.
    pub fn advance(&mut self, now: Duration, out: &mut Vec<Output<M::Output>>) {
        self.on_role_change(out);
        self.expire_deadlines(now, out);
        if self.in_flight.is_some() {
            return;
        }
        if self.is_head() {
            let due = if self.has_pending_work() { self.next_attempt_at } else { self.next_heartbeat_at };
            if now < due {
                return;
            }
            self.append_queued(out);
            self.next_heartbeat_at = now + self.config.heartbeat_interval;
            self.append_attempts = 0;
            let readings = std::mem::take(&mut self.reads);
            self.send_append(now, readings, Vec::new(), out);
        } else if !self.upstream_tokens.is_empty() {
            self.append_attempts = 0;
            let upstream = std::mem::take(&mut self.upstream_tokens);
            self.send_append(now, Vec::new(), upstream, out);
        }
    }

    /// Whoever waits for what this member no longer does is told.
    fn on_role_change(&mut self, out: &mut Vec<Output<M::Output>>) {
        let role = role_of(&self.replica);
        let before = std::mem::replace(&mut self.role, role);
        if role.view != before.view {
            self.failing_member = None;
            self.peer_positions.clear();
            self.round.confirmed = 0;
            if let Some(pass) = self.in_flight.take() {
                self.reads.extend(pass.reads);
                self.upstream_tokens.extend(pass.upstream_tokens);
            }
            let view = self.replica.view().clone();
            let stale = |token| Output::Reply { token, reply: AppendReply::StaleView(view.clone()) };
            out.extend(std::mem::take(&mut self.upstream_tokens).into_iter().map(stale));
        }
        if !role.is_head || role.restore_count != before.restore_count {
            let unknown = |ordered: UncommittedOperation<_>| Output::Applied {
                token: ordered.token,
                result: Err(ProposalError::OutcomeUnknown),
            };
            out.extend(std::mem::take(&mut self.uncommitted).into_iter().map(unknown));
        }
        if !role.is_head {
            let refused = ProposalError::NotHead(self.head_address());
            for queued in std::mem::take(&mut self.queue) {
                out.push(Output::Applied { token: queued.token, result: Err(refused.clone()) });
            }
            let own = self.in_flight.iter_mut().flat_map(|pass| std::mem::take(&mut pass.reads));
            for reading in std::mem::take(&mut self.reads).into_iter().chain(own) {
                out.push(Output::Readable { token: reading.token, result: Err(refused.clone()) });
            }
        }
    }

    /// Tells whoever has waited long enough. What was only queued was not carried out, and never will be.
    fn expire_deadlines(&mut self, now: Duration, out: &mut Vec<Output<M::Output>>) {
        let finished = |token| Output::Applied { token, result: Err(ProposalError::OutcomeUnknown) };
        let late =
            self.uncommitted.iter().filter(|ordered| ordered.deadline <= now).map(|ordered| ordered.token);
        out.extend(late.map(finished));
        self.uncommitted.retain(|ordered| ordered.deadline > now);
        let late = self.queue.iter().filter(|queued| queued.deadline <= now).map(|queued| queued.token);
        out.extend(
            late.map(|token| Output::Applied { token, result: Err(ProposalError::NotEnoughReplicas) }),
        );
        self.queue.retain(|queued| queued.deadline > now);
        let late = self.reads.iter().filter(|reading| reading.deadline <= now).map(|reading| reading.token);
        out.extend(late.map(|token| Output::Readable { token, result: Err(ProposalError::OutcomeUnknown) }));
        self.reads.retain(|reading| reading.deadline > now);
    }

    /// Takes what one round carries off the front of the queue.
    fn take_round(&mut self) -> Vec<QueuedOperation<M::Operation>> {
        let mut bytes = 0;
        let fits = |queued: &QueuedOperation<M::Operation>| {
            let size = M::size_of(&queued.operation);
            // Small ones do not wait for large ones; of these the first always goes.
            let fits = size < LARGE_OPERATION_BYTES || bytes == 0 || bytes + size <= MAX_ENTRY_BYTES;
            if fits && size >= LARGE_OPERATION_BYTES {
                bytes += size;
            }
            fits
        };
        let (taken, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queue).into_iter().partition(fits);
        self.queue = left.into();
        taken
    }

    /// Orders the operations of one round, as one entry.
    fn append_queued(&mut self, out: &mut Vec<Output<M::Output>>) {
        if self.replica.view().members.len() < self.config.min_replicas {
            let refused = |queued: QueuedOperation<_>| Output::Applied {
                token: queued.token,
                result: Err(ProposalError::NotEnoughReplicas),
            };
            out.extend(std::mem::take(&mut self.queue).into_iter().map(refused));
            return;
        }
        let taken = self.take_round();
        if taken.is_empty() {
            return;
        }
        let (mut waiting, mut operations) = (Vec::new(), Vec::new());
        for queued in taken {
            waiting.push((queued.token, queued.deadline));
            operations.push(queued.operation);
        }
        match self.replica.propose(&operations) {
            Ok(outputs) => {
                let index = self.replica.position().index;
                let ordered =
                    |((token, until), output)| UncommittedOperation { token, index, output, deadline: until };
                self.uncommitted.extend(waiting.into_iter().zip(outputs).map(ordered));
            }
            Err(e) => {
                warn!("the disk refused an entry: {e}");
                let unknown =
                    |(token, _)| Output::Applied { token, result: Err(ProposalError::OutcomeUnknown) };
                out.extend(waiting.into_iter().map(unknown));
            }
        }
    }

    /// Passes this member's state to the one that follows; a tail is done at once.
    fn send_append(
        &mut self,
        now: Duration,
        readings: Vec<PendingRead>,
        upstream: Vec<Token>,
        out: &mut Vec<Output<M::Output>>,
    ) {
        let is_head = self.is_head();
        if is_head {
            self.round.number += 1;
        }
        let position = self.replica.position();
        let followed = self.replica.successor().map(|(member, left)| (member.clone(), left));
        self.last_call += 1;
        let Some((successor, left)) = followed else {
            let held = DownstreamProgress { started_at: now, position, durable_replicas_downstream: 0 };
            self.on_round_held(now, held, readings, upstream, out);
            return;
        };
        let from = self.peer_positions.get(&successor.identity).copied().unwrap_or(position);
        let (message, within) = match self.replica.entries_since(from) {
            Some(entries) => {
                let append = Append {
                    view: self.replica.view().clone(),
                    round: if is_head { self.round } else { self.forwarded_round },
                    previous: from,
                    entries,
                    last: position,
                    broadcast: self.broadcast.clone(),
                };
                let parts = u32::try_from(left + 1).unwrap_or(u32::MAX);
                (ToSuccessor::Append(append), self.config.append_timeout * parts)
            }
            None => {
                let install = self.replica.snapshot_message();
                info!("sends its whole state, {} bytes, to {}", install.machine.0.len(), successor.address);
                (ToSuccessor::Install(install), self.config.install_timeout)
            }
        };
        self.in_flight = Some(InFlightAppend {
            call: self.last_call,
            view: self.replica.view().number,
            restore_count: self.replica.restore_count(),
            position,
            successor: successor.clone(),
            started_at: now,
            is_install: matches!(message, ToSuccessor::Install(_)),
            reads: readings,
            upstream_tokens: upstream,
        });
        out.push(Output::Call { call: self.last_call, to: successor, message, within });
    }

    /// The whole chain from here on holds a position.
    fn on_round_held(
        &mut self,
        now: Duration,
        held: DownstreamProgress,
        readings: Vec<PendingRead>,
        upstream: Vec<Token>,
        out: &mut Vec<Output<M::Output>>,
    ) {
        let copies = held.durable_replicas_downstream + usize::from(self.config.is_durable);
        self.replica.commit(held.position);
        self.failing_member = None;
        self.last_append_received_at = Some(now);
        if self.is_head() {
            self.round.confirmed = self.round.number;
            self.lease_confirmed_at = Some(held.started_at);
            self.last_committed_round_at = Some(now);
        } else if self.forwarded_round.follows_committed_round() {
            self.last_committed_round_at = Some(now);
        }
        out.extend(
            upstream.into_iter().map(|token| Output::Reply {
                token,
                reply: AppendReply::Accepted { durable_replicas: copies },
            }),
        );
        // With too few disks it is tried again: members with a disk may join.
        let enough = copies >= self.config.min_replicas;
        while let Some(ordered) =
            self.uncommitted.pop_front_if(|ordered| enough && ordered.index <= held.position.index)
        {
            out.push(Output::Applied { token: ordered.token, result: Ok(ordered.output) });
        }
        if !self.uncommitted.is_empty() {
            self.next_attempt_at = now + RETRY_BACKOFF;
        }
        // An operation that was ordered and is not yet held shows in the state; its reading waits for the next round.
        if self.replica.is_committed() {
            out.extend(
                readings.into_iter().map(|reading| Output::Readable { token: reading.token, result: Ok(()) }),
            );
        } else {
            self.reads.extend(readings);
        }
    }

    /// Takes the answer to a call of this member's, or that there was none.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        call: u64,
        reply: Option<AppendReply>,
        out: &mut Vec<Output<M::Output>>,
    ) {
        self.on_role_change(out);
        let Some(pass) = self.in_flight.take_if(|pass| pass.call == call) else { return };
        let stands = pass.view == self.replica.view().number
            && pass.restore_count == self.replica.restore_count()
            && self.replica.is_complete();
        if !stands {
            self.on_round_failed(now, Failure::NewerView, pass, out);
            return;
        }
        match reply {
            Some(AppendReply::Accepted { durable_replicas: copies }) => {
                self.peer_positions.insert(pass.successor.identity, pass.position);
                if pass.is_install {
                    self.send_append(now, pass.reads, pass.upstream_tokens, out);
                } else {
                    let held = DownstreamProgress {
                        started_at: pass.started_at,
                        position: pass.position,
                        durable_replicas_downstream: copies,
                    };
                    self.on_round_held(now, held, pass.reads, pass.upstream_tokens, out);
                }
            }
            Some(AppendReply::Mismatch(theirs)) => {
                self.peer_positions.insert(pass.successor.identity, theirs);
                self.append_attempts += 1;
                if self.append_attempts < MAX_APPEND_ATTEMPTS {
                    self.send_append(now, pass.reads, pass.upstream_tokens, out);
                } else {
                    self.on_round_failed(now, Failure::Member(pass.successor.address), pass, out);
                }
            }
            Some(AppendReply::StaleView(view)) => {
                self.install_view(&view);
                self.on_round_failed(now, Failure::NewerView, pass, out);
            }
            Some(AppendReply::DownstreamFailed(address)) => {
                self.peer_positions.insert(pass.successor.identity, pass.position);
                self.on_round_failed(now, Failure::Member(address), pass, out);
            }
            Some(AppendReply::NotMember | AppendReply::StorageError) | None => {
                self.on_round_failed(now, Failure::Member(pass.successor.address), pass, out);
            }
        }
        self.on_role_change(out);
    }

    fn on_round_failed(
        &mut self,
        now: Duration,
        failure: Failure,
        pass: InFlightAppend,
        out: &mut Vec<Output<M::Output>>,
    ) {
        self.reads.extend(pass.reads);
        self.next_attempt_at = now + RETRY_BACKOFF;
        let reply = match failure {
            Failure::Member(address) => {
                if self.failing_member.is_none_or(|failing| failing.0 != address) {
                    self.failing_member = Some((address, now));
                }
                AppendReply::DownstreamFailed(address)
            }
            Failure::NewerView => AppendReply::StaleView(self.replica.view().clone()),
        };
        let answer = |token| Output::Reply { token, reply: reply.clone() };
        out.extend(pass.upstream_tokens.into_iter().map(answer));
    }

    /// Takes what the member before this one sends; it is answered when the members that follow hold it too.
    pub fn handle_append(
        &mut self,
        now: Duration,
        token: Token,
        append: &Append,
        out: &mut Vec<Output<M::Output>>,
    ) {
        let received = self.replica.append(append);
        self.on_role_change(out);
        if let Some(reply) = rejection(received) {
            out.push(Output::Reply { token, reply });
            return;
        }
        self.last_append_received_at = Some(now);
        self.record_round(now, append.view.number, append.round);
        if self.broadcast != append.broadcast {
            self.broadcast = append.broadcast.clone();
        }
        self.forwarded_round = append.round;
        self.upstream_tokens.push(token);
    }

    /// Notes that a round was handled, and what it confirms of rounds before.
    fn record_round(&mut self, now: Duration, view: u64, round: Round) {
        let handled = &mut self.handled_rounds;
        if (handled.view, handled.session) != (view, round.session) {
            *handled = HandledRounds { view, session: round.session, rounds: VecDeque::new() };
        }
        let confirmed = handled.rounds.iter().find(|handled| handled.0 == round.confirmed);
        self.lease_confirmed_at = self.lease_confirmed_at.max(confirmed.map(|handled| handled.1));
        handled.rounds.push_back((round.number, now));
        if handled.rounds.len() > MAX_HANDLED_ROUNDS {
            handled.rounds.pop_front();
        }
    }

    /// Takes a whole state.
    pub fn handle_install(&mut self, token: Token, install: &Install, out: &mut Vec<Output<M::Output>>) {
        let received = self.replica.install(install);
        self.on_role_change(out);
        let reply = rejection(received).unwrap_or(AppendReply::Accepted { durable_replicas: 0 });
        out.push(Output::Reply { token, reply });
    }
}

fn role_of<M: StateMachine, S: Storage>(replica: &Replica<M, S>) -> Role {
    Role { view: replica.view().number, is_head: replica.is_head(), restore_count: replica.restore_count() }
}

/// The reply to a message that was refused; `None` where it was taken.
fn rejection(received: AppendOutcome) -> Option<AppendReply> {
    match received {
        AppendOutcome::Accepted => None,
        AppendOutcome::Mismatch(position) => Some(AppendReply::Mismatch(position)),
        AppendOutcome::StaleView(view) => Some(AppendReply::StaleView(view)),
        AppendOutcome::NotMember => Some(AppendReply::NotMember),
        AppendOutcome::StorageError(e) => {
            warn!("the disk refused: {e}");
            Some(AppendReply::StorageError)
        }
    }
}
