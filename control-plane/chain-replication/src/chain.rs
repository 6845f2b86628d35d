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
use crate::replica::{Position, Received, Replica, StateMachine};
use crate::storage::Storage;
use crate::view::{Member, View};
use marblecroft_rpc::Bytes;
use quick_error::quick_error;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// Times that a member's position is asked for anew in one round before it counts as failed.
const ATTEMPTS: usize = 4;
/// Operations of one round, in bytes; one that is larger has a round of its own.
const ROUND_MOST: usize = 512 << 10;
/// An operation below this size does not count as large, in bytes.
const SMALL: usize = 16 << 10;
/// Pause after a round that did not go through the chain.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Rounds whose time of handling is kept until the head confirms them.
const HANDLED_MOST: usize = 16;

/// Names a request for whoever handed it in.
pub type Token = u64;

/// How a chain behaves in time.
#[derive(Clone, Debug)]
pub struct Options {
    /// Pause between two rounds without operations.
    pub heartbeat: Duration,
    /// Time for one member's part of a round.
    pub member_time: Duration,
    /// Time for sending a whole state.
    pub install_time: Duration,
    /// Disks that an operation must be on before it is acknowledged.
    pub copies: usize,
    /// Whether this member's storage outlives its process.
    pub is_durable: bool,
    /// A member that fails its part for so long is suspected. Longer than any lease: see [`Chain::lease_since`].
    pub suspect_after: Duration,
}

quick_error! {
    /// Why an operation has no result; it says whether the operation may have been carried out.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Refused {
        /// Another process is the head, or none is known.
        NotHead(head: Option<SocketAddr>) {
            display("another process is the head")
        }
        /// Too few members are left to take operations.
        TooFew {
            display("too few copies would be made")
        }
        /// It may have been carried out, and may be later.
        Unknown {
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
    Finished { token: Token, result: Result<O, Refused> },
    /// The state is the newest that was acknowledged, or why it may not be read.
    Readable { token: Token, result: Result<(), Refused> },
}

/// An operation that waits to be ordered.
struct Queued<O> {
    token: Token,
    operation: O,
    until: Duration,
}

/// An operation that was ordered and is not yet held by the whole chain.
struct Ordered<O> {
    token: Token,
    /// The entry that holds it.
    index: u64,
    output: O,
    until: Duration,
}

/// A reading that waits for a round.
struct Reading {
    token: Token,
    until: Duration,
}

/// A call to the member that follows, and who waits for it.
struct Pass {
    call: u64,
    view: u64,
    replaced: u64,
    position: Position,
    successor: Member,
    /// When the round was begun here.
    begun: Duration,
    installs: bool,
    readings: Vec<Reading>,
    /// Messages of the member before this one that are answered with its outcome.
    upstream: Vec<Token>,
}

/// What the members from one on are known to hold.
struct Held {
    /// When the round was begun at this member.
    begun: Duration,
    position: Position,
    /// Disks that hold it, of the members that follow.
    copies_behind: usize,
}

/// Where a round failed.
enum Failure {
    At(SocketAddr),
    /// There is a newer view.
    View,
}

/// What this member was when it was last looked at.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Role {
    view: u64,
    is_head: bool,
    replaced: u64,
}

/// Rounds that this member has handled, of one session in one view.
#[derive(Default)]
struct Handled {
    view: u64,
    session: u64,
    /// Number and time.
    rounds: VecDeque<(u64, Duration)>,
}

/// A member of a chain.
pub struct Chain<M: StateMachine, S> {
    replica: Replica<M, S>,
    options: Options,
    queue: VecDeque<Queued<M::Operation>>,
    ordered: VecDeque<Ordered<M::Output>>,
    readings: Vec<Reading>,
    upstream: Vec<Token>,
    pass: Option<Pass>,
    calls: u64,
    attempts: usize,
    round: Round,
    /// The round that this member passes on, where it is not the head.
    forwarded: Round,
    heartbeat_at: Duration,
    retry_at: Duration,
    role: Role,
    handled: Handled,
    lease_since: Option<Duration>,
    healthy_at: Option<Duration>,
    heard_at: Option<Duration>,
    failing: Option<(SocketAddr, Duration)>,
    /// The positions at which other members were last known to be.
    positions: HashMap<u64, Position>,
    notice: Bytes,
    leaving: bool,
}

impl<M: StateMachine, S: Storage> Chain<M, S> {
    /// A member with this state. `session` is drawn anew by every process.
    pub fn new(replica: Replica<M, S>, options: Options, session: u64) -> Chain<M, S> {
        let role = role_of(&replica);
        Chain {
            replica,
            options,
            queue: VecDeque::new(),
            ordered: VecDeque::new(),
            readings: Vec::new(),
            upstream: Vec::new(),
            pass: None,
            calls: 0,
            attempts: 0,
            round: Round { session, ..Round::default() },
            forwarded: Round::default(),
            heartbeat_at: Duration::ZERO,
            retry_at: Duration::ZERO,
            role,
            handled: Handled::default(),
            lease_since: None,
            healthy_at: None,
            heard_at: None,
            failing: None,
            positions: HashMap::new(),
            notice: Bytes::default(),
            leaving: false,
        }
    }

    /// The process is about to end: from now on it has no lease, and its status says so.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// This member's state.
    pub fn replica(&self) -> &Replica<M, S> {
        &self.replica
    }

    /// The state machine if the whole chain is known to hold its state.
    pub fn settled(&self) -> Option<&M> {
        self.replica.settled().then(|| self.replica.machine())
    }

    /// What this member says of itself.
    pub fn status(&self, now: Duration) -> Status {
        let failing = self.failing.filter(|failing| now >= failing.1 + self.options.suspect_after);
        Status {
            identity: self.replica.identity(),
            view: self.replica.view().clone(),
            complete: self.replica.complete(),
            position: self.replica.position(),
            settled: self.replica.settled(),
            suspect: failing.map(|failing| failing.0),
            leaving: self.leaving,
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
    pub fn lease_since(&self) -> Option<Duration> {
        let holds = self.replica.complete() && self.replica.view().contains(self.replica.identity());
        self.lease_since.filter(|_| holds && !self.leaving)
    }

    /// When the chain was last known to be whole here.
    pub fn healthy_at(&self) -> Option<Duration> {
        self.healthy_at
    }

    /// When anything of the chain was heard here.
    pub fn heard_at(&self) -> Option<Duration> {
        self.heard_at
    }

    /// The volatile data that the head gave last.
    pub fn notice(&self) -> &[u8] {
        &self.notice.0
    }

    /// Sets the data that the head gives to all members.
    pub fn set_notice(&mut self, notice: Vec<u8>) {
        self.notice = Bytes(notice);
    }

    /// Changes this member's durable state outside the chain's own messages: a vote, a view that was learnt, a state that
    /// was fetched.
    pub fn with_replica<R>(&mut self, f: impl FnOnce(&mut Replica<M, S>) -> R) -> R {
        f(&mut self.replica)
    }

    /// Takes notice of a view.
    pub fn learn(&mut self, view: &View) {
        match self.replica.learn(view) {
            Ok(true) => info!("view {} with {}", view.number, view.addresses()),
            Ok(false) => {}
            Err(e) => warn!("a view could not be kept: {e}"),
        }
    }

    /// Has an operation carried out and acknowledged by the whole chain. It may still be carried out after `until`, when it
    /// is answered with [`Refused::Unknown`].
    pub fn submit(&mut self, token: Token, operation: M::Operation, until: Duration) {
        self.queue.push_back(Queued { token, operation, until });
    }

    /// Waits for a round that begins after this call, and confirms by it that this member's state is the newest.
    pub fn begin_read(&mut self, token: Token, until: Duration) {
        self.readings.push(Reading { token, until });
    }

    /// When [`Chain::pump`] has something to do without further input.
    pub fn next_wake(&self) -> Duration {
        let untils = self.queue.iter().map(|queued| queued.until);
        let untils = untils.chain(self.ordered.iter().map(|ordered| ordered.until));
        let untils = untils.chain(self.readings.iter().map(|reading| reading.until));
        let first_until = untils.min().unwrap_or(Duration::MAX);
        if self.pass.is_some() || !self.is_head() {
            return first_until;
        }
        let next_round = if self.has_work() { self.retry_at } else { self.heartbeat_at };
        next_round.min(first_until)
    }

    fn has_work(&self) -> bool {
        !self.queue.is_empty() || !self.ordered.is_empty() || !self.readings.is_empty()
    }

    /// Begins what is due. Called after every input, until it puts nothing more out.
    pub fn pump(&mut self, now: Duration, out: &mut Vec<Output<M::Output>>) {
        self.follow_role(out);
        self.expire(now, out);
        if self.pass.is_some() {
            return;
        }
        if self.is_head() {
            let due = if self.has_work() { self.retry_at } else { self.heartbeat_at };
            if now < due {
                return;
            }
            self.order(out);
            self.heartbeat_at = now + self.options.heartbeat;
            self.attempts = 0;
            let readings = std::mem::take(&mut self.readings);
            self.begin_pass(now, readings, Vec::new(), out);
        } else if !self.upstream.is_empty() {
            self.attempts = 0;
            let upstream = std::mem::take(&mut self.upstream);
            self.begin_pass(now, Vec::new(), upstream, out);
        }
    }

    /// Whoever waits for what this member no longer does is told.
    fn follow_role(&mut self, out: &mut Vec<Output<M::Output>>) {
        let role = role_of(&self.replica);
        let before = std::mem::replace(&mut self.role, role);
        if role.view != before.view {
            self.failing = None;
            self.positions.clear();
            self.round.confirmed = 0;
            if let Some(pass) = self.pass.take() {
                self.readings.extend(pass.readings);
                self.upstream.extend(pass.upstream);
            }
            let view = self.replica.view().clone();
            let stale = |token| Output::Reply { token, reply: AppendReply::Stale(view.clone()) };
            out.extend(std::mem::take(&mut self.upstream).into_iter().map(stale));
        }
        if !role.is_head || role.replaced != before.replaced {
            let unknown = |ordered: Ordered<_>| Output::Finished {
                token: ordered.token,
                result: Err(Refused::Unknown),
            };
            out.extend(std::mem::take(&mut self.ordered).into_iter().map(unknown));
        }
        if !role.is_head {
            let refused = Refused::NotHead(self.head_address());
            for queued in std::mem::take(&mut self.queue) {
                out.push(Output::Finished { token: queued.token, result: Err(refused.clone()) });
            }
            let own = self.pass.iter_mut().flat_map(|pass| std::mem::take(&mut pass.readings));
            for reading in std::mem::take(&mut self.readings).into_iter().chain(own) {
                out.push(Output::Readable { token: reading.token, result: Err(refused.clone()) });
            }
        }
    }

    /// Tells whoever has waited long enough. What was only queued was not carried out, and never will be.
    fn expire(&mut self, now: Duration, out: &mut Vec<Output<M::Output>>) {
        let finished = |token| Output::Finished { token, result: Err(Refused::Unknown) };
        let late = self.ordered.iter().filter(|ordered| ordered.until <= now).map(|ordered| ordered.token);
        out.extend(late.map(finished));
        self.ordered.retain(|ordered| ordered.until > now);
        let late = self.queue.iter().filter(|queued| queued.until <= now).map(|queued| queued.token);
        out.extend(late.map(|token| Output::Finished { token, result: Err(Refused::TooFew) }));
        self.queue.retain(|queued| queued.until > now);
        let late = self.readings.iter().filter(|reading| reading.until <= now).map(|reading| reading.token);
        out.extend(late.map(|token| Output::Readable { token, result: Err(Refused::Unknown) }));
        self.readings.retain(|reading| reading.until > now);
    }

    /// Takes what one round carries off the front of the queue.
    fn take_round(&mut self) -> Vec<Queued<M::Operation>> {
        let mut bytes = 0;
        let fits = |queued: &Queued<M::Operation>| {
            let size = M::size_of(&queued.operation);
            // Small ones do not wait for large ones; of these the first always goes.
            let fits = size < SMALL || bytes == 0 || bytes + size <= ROUND_MOST;
            if fits && size >= SMALL {
                bytes += size;
            }
            fits
        };
        let (taken, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queue).into_iter().partition(fits);
        self.queue = left.into();
        taken
    }

    /// Orders the operations of one round, as one entry.
    fn order(&mut self, out: &mut Vec<Output<M::Output>>) {
        if self.replica.view().members.len() < self.options.copies {
            let refused =
                |queued: Queued<_>| Output::Finished { token: queued.token, result: Err(Refused::TooFew) };
            out.extend(std::mem::take(&mut self.queue).into_iter().map(refused));
            return;
        }
        let taken = self.take_round();
        if taken.is_empty() {
            return;
        }
        let (mut waiting, mut operations) = (Vec::new(), Vec::new());
        for queued in taken {
            waiting.push((queued.token, queued.until));
            operations.push(queued.operation);
        }
        match self.replica.propose(&operations) {
            Ok(outputs) => {
                let index = self.replica.position().index;
                let ordered = |((token, until), output)| Ordered { token, index, output, until };
                self.ordered.extend(waiting.into_iter().zip(outputs).map(ordered));
            }
            Err(e) => {
                warn!("the disk refused an entry: {e}");
                let unknown = |(token, _)| Output::Finished { token, result: Err(Refused::Unknown) };
                out.extend(waiting.into_iter().map(unknown));
            }
        }
    }

    /// Passes this member's state to the one that follows; a tail is done at once.
    fn begin_pass(
        &mut self,
        now: Duration,
        readings: Vec<Reading>,
        upstream: Vec<Token>,
        out: &mut Vec<Output<M::Output>>,
    ) {
        let is_head = self.is_head();
        if is_head {
            self.round.number += 1;
        }
        let position = self.replica.position();
        let followed = self.replica.successor().map(|(member, left)| (member.clone(), left));
        self.calls += 1;
        let Some((successor, left)) = followed else {
            let held = Held { begun: now, position, copies_behind: 0 };
            self.complete(now, held, readings, upstream, out);
            return;
        };
        let from = self.positions.get(&successor.identity).copied().unwrap_or(position);
        let (message, within) = match self.replica.entries_since(from) {
            Some(entries) => {
                let append = Append {
                    view: self.replica.view().clone(),
                    round: if is_head { self.round } else { self.forwarded },
                    from,
                    entries,
                    to: position,
                    notice: self.notice.clone(),
                };
                let parts = u32::try_from(left + 1).unwrap_or(u32::MAX);
                (ToSuccessor::Append(append), self.options.member_time * parts)
            }
            None => {
                let install = self.replica.install_message();
                info!("sends its whole state, {} bytes, to {}", install.machine.0.len(), successor.address);
                (ToSuccessor::Install(install), self.options.install_time)
            }
        };
        self.pass = Some(Pass {
            call: self.calls,
            view: self.replica.view().number,
            replaced: self.replica.replaced(),
            position,
            successor: successor.clone(),
            begun: now,
            installs: matches!(message, ToSuccessor::Install(_)),
            readings,
            upstream,
        });
        out.push(Output::Call { call: self.calls, to: successor, message, within });
    }

    /// The whole chain from here on holds a position.
    fn complete(
        &mut self,
        now: Duration,
        held: Held,
        readings: Vec<Reading>,
        upstream: Vec<Token>,
        out: &mut Vec<Output<M::Output>>,
    ) {
        let copies = held.copies_behind + usize::from(self.options.is_durable);
        self.replica.settle(held.position);
        self.failing = None;
        self.heard_at = Some(now);
        if self.is_head() {
            self.round.confirmed = self.round.number;
            self.lease_since = Some(held.begun);
            self.healthy_at = Some(now);
        } else if self.forwarded.is_healthy() {
            self.healthy_at = Some(now);
        }
        out.extend(
            upstream.into_iter().map(|token| Output::Reply { token, reply: AppendReply::Held { copies } }),
        );
        // With too few disks it is tried again: members with a disk may join.
        let enough = copies >= self.options.copies;
        while let Some(ordered) =
            self.ordered.pop_front_if(|ordered| enough && ordered.index <= held.position.index)
        {
            out.push(Output::Finished { token: ordered.token, result: Ok(ordered.output) });
        }
        if !self.ordered.is_empty() {
            self.retry_at = now + RETRY_PAUSE;
        }
        // An operation that was ordered and is not yet held shows in the state; its reading waits for the next round.
        if self.replica.settled() {
            out.extend(
                readings.into_iter().map(|reading| Output::Readable { token: reading.token, result: Ok(()) }),
            );
        } else {
            self.readings.extend(readings);
        }
    }

    /// Takes the answer to a call of this member's, or that there was none.
    pub fn on_reply(
        &mut self,
        now: Duration,
        call: u64,
        reply: Option<AppendReply>,
        out: &mut Vec<Output<M::Output>>,
    ) {
        self.follow_role(out);
        let Some(pass) = self.pass.take_if(|pass| pass.call == call) else { return };
        let stands = pass.view == self.replica.view().number
            && pass.replaced == self.replica.replaced()
            && self.replica.complete();
        if !stands {
            self.fail(now, Failure::View, pass, out);
            return;
        }
        match reply {
            Some(AppendReply::Held { copies }) => {
                self.positions.insert(pass.successor.identity, pass.position);
                if pass.installs {
                    self.begin_pass(now, pass.readings, pass.upstream, out);
                } else {
                    let held = Held { begun: pass.begun, position: pass.position, copies_behind: copies };
                    self.complete(now, held, pass.readings, pass.upstream, out);
                }
            }
            Some(AppendReply::Mismatch(theirs)) => {
                self.positions.insert(pass.successor.identity, theirs);
                self.attempts += 1;
                if self.attempts < ATTEMPTS {
                    self.begin_pass(now, pass.readings, pass.upstream, out);
                } else {
                    self.fail(now, Failure::At(pass.successor.address), pass, out);
                }
            }
            Some(AppendReply::Stale(view)) => {
                self.learn(&view);
                self.fail(now, Failure::View, pass, out);
            }
            Some(AppendReply::Failed(address)) => {
                self.positions.insert(pass.successor.identity, pass.position);
                self.fail(now, Failure::At(address), pass, out);
            }
            Some(AppendReply::NotMember | AppendReply::Storage) | None => {
                self.fail(now, Failure::At(pass.successor.address), pass, out);
            }
        }
        self.follow_role(out);
    }

    fn fail(&mut self, now: Duration, failure: Failure, pass: Pass, out: &mut Vec<Output<M::Output>>) {
        self.readings.extend(pass.readings);
        self.retry_at = now + RETRY_PAUSE;
        let reply = match failure {
            Failure::At(address) => {
                if self.failing.is_none_or(|failing| failing.0 != address) {
                    self.failing = Some((address, now));
                }
                AppendReply::Failed(address)
            }
            Failure::View => AppendReply::Stale(self.replica.view().clone()),
        };
        let answer = |token| Output::Reply { token, reply: reply.clone() };
        out.extend(pass.upstream.into_iter().map(answer));
    }

    /// Takes what the member before this one sends; it is answered when the members that follow hold it too.
    pub fn on_append(
        &mut self,
        now: Duration,
        token: Token,
        append: &Append,
        out: &mut Vec<Output<M::Output>>,
    ) {
        let received = self.replica.receive(append);
        self.follow_role(out);
        if let Some(reply) = refusal(received) {
            out.push(Output::Reply { token, reply });
            return;
        }
        self.heard_at = Some(now);
        self.note_round(now, append.view.number, append.round);
        if self.notice != append.notice {
            self.notice = append.notice.clone();
        }
        self.forwarded = append.round;
        self.upstream.push(token);
    }

    /// Notes that a round was handled, and what it confirms of rounds before.
    fn note_round(&mut self, now: Duration, view: u64, round: Round) {
        let handled = &mut self.handled;
        if (handled.view, handled.session) != (view, round.session) {
            *handled = Handled { view, session: round.session, rounds: VecDeque::new() };
        }
        let confirmed = handled.rounds.iter().find(|handled| handled.0 == round.confirmed);
        self.lease_since = self.lease_since.max(confirmed.map(|handled| handled.1));
        handled.rounds.push_back((round.number, now));
        if handled.rounds.len() > HANDLED_MOST {
            handled.rounds.pop_front();
        }
    }

    /// Takes a whole state.
    pub fn on_install(&mut self, token: Token, install: &Install, out: &mut Vec<Output<M::Output>>) {
        let received = self.replica.install(install);
        self.follow_role(out);
        let reply = refusal(received).unwrap_or(AppendReply::Held { copies: 0 });
        out.push(Output::Reply { token, reply });
    }
}

fn role_of<M: StateMachine, S: Storage>(replica: &Replica<M, S>) -> Role {
    Role { view: replica.view().number, is_head: replica.is_head(), replaced: replica.replaced() }
}

/// The reply to a message that was refused; `None` where it was taken.
fn refusal(received: Received) -> Option<AppendReply> {
    match received {
        Received::Held => None,
        Received::Mismatch(position) => Some(AppendReply::Mismatch(position)),
        Received::Stale(view) => Some(AppendReply::Stale(view)),
        Received::NotMember => Some(AppendReply::NotMember),
        Received::Storage(e) => {
            warn!("the disk refused: {e}");
            Some(AppendReply::Storage)
        }
    }
}
