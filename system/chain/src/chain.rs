//! A member among others: the head's rounds, what a member passes on, and who is suspected.
//!
//! [`Chain::run_head`] runs on a thread of its own and does nothing while another member is the head. A round takes all
//! operations that wait, puts them on this member's disk as one entry, and passes them down the chain; once the tail has
//! them the whole chain has, and whoever waits is answered. A round without operations is a heartbeat, and what confirms
//! that a reading is the newest.

use crate::message::{Append, AppendReply, Install, Status};
use crate::replica::{Position, Received, Replica, StateMachine};
use crate::storage::Storage;
use crate::view::{Member, View};
use marblecroft_wire::Bytes;
use quick_error::quick_error;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Times that a member's position is asked for anew in one round before it counts as failed.
const ATTEMPTS: usize = 4;
/// Operations of one round, in bytes; one that is larger has a round of its own.
const ROUND_MOST: usize = 512 << 10;
/// An operation below this size does not count as large, in bytes.
const SMALL: usize = 16 << 10;
/// Pause after a round that did not go through the chain.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Carries messages to other members.
pub trait Transport: Send + Sync {
    /// `None` where no answer came in time.
    fn append(&self, to: &Member, message: &Append, within: Duration) -> Option<AppendReply>;
    fn install(&self, to: &Member, message: &Install, within: Duration) -> Option<AppendReply>;
}

/// How a chain behaves in time.
#[derive(Clone, Debug)]
pub struct Options {
    /// Pause between two rounds without operations.
    pub heartbeat: Duration,
    /// Time for one member's part of a round.
    pub member_time: Duration,
    /// Time for sending a whole state.
    pub install_time: Duration,
    /// Members that an operation must be on before it is acknowledged.
    pub copies: usize,
    /// A member that fails its part for so long is suspected.
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

type Answer<O> = Result<O, Refused>;

/// Called with the state that the whole chain holds, or with why there is none.
type ReadCall<M> = Box<dyn FnOnce(Answer<&M>) + Send>;

/// Work for the next round.
enum Pending<M: StateMachine> {
    Operation(M::Operation, SyncSender<Answer<M::Output>>),
    /// Called when a round that began later has gone through the whole chain, before the next one begins.
    Read(ReadCall<M>),
}

/// Where a round failed.
enum Failure {
    At(SocketAddr),
    /// There is a newer view.
    View,
}

/// What a member passes its state on as. A view that was learnt meanwhile may have taken the part away, and then nothing that
/// is passed on counts.
#[derive(Clone, Copy)]
enum Part {
    /// The head, with a state that was replaced so many times.
    Head { replaced: u64 },
    /// A member of the view of this number.
    Member { view: u64 },
}

/// What is told of the chain without waiting for a disk.
#[derive(Default)]
struct Observed {
    status: Status,
    /// When the last message of a healthy chain came, or the last round of the head's own went through.
    healthy_at: Option<Instant>,
    /// When any message of the chain's came.
    heard_at: Option<Instant>,
    /// Whom rounds fail at, and since when.
    failing: Option<(SocketAddr, Instant)>,
    /// The positions at which other members were last known to be.
    positions: HashMap<u64, Position>,
    notice: Bytes,
}

/// A member of a chain.
pub struct Chain<M: StateMachine, S, T> {
    replica: Mutex<Replica<M, S>>,
    observed: Mutex<Observed>,
    queue: Mutex<Vec<Pending<M>>>,
    /// Held while this member passes something on: what it sends reaches its successor in order.
    passing: Mutex<()>,
    /// Something waits in the queue.
    queued: Condvar,
    /// The state was settled, or the notice has changed.
    changed: Condvar,
    transport: T,
    options: Options,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A thread that panicked has left a state that was whole between two statements.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<M: StateMachine, S: Storage, T: Transport> Chain<M, S, T> {
    pub fn new(replica: Replica<M, S>, transport: T, options: Options) -> Chain<M, S, T> {
        let chain = Chain {
            replica: Mutex::new(replica),
            observed: Mutex::default(),
            queue: Mutex::default(),
            passing: Mutex::default(),
            queued: Condvar::new(),
            changed: Condvar::new(),
            transport,
            options,
        };
        chain.publish(&lock(&chain.replica));
        chain
    }

    pub fn transport(&self) -> &T {
        &self.transport
    }

    /// Runs `f` on this member's state, which waits for its disk.
    pub fn with_replica<R>(&self, f: impl FnOnce(&mut Replica<M, S>) -> R) -> R {
        let mut replica = lock(&self.replica);
        let result = f(&mut replica);
        self.publish(&replica);
        result
    }

    /// Runs `f` on the state if the whole chain is known to hold it.
    pub fn read_settled<R>(&self, f: impl FnOnce(&M) -> R) -> Option<R> {
        let replica = lock(&self.replica);
        replica.settled().then(|| f(replica.machine()))
    }

    fn publish(&self, replica: &Replica<M, S>) {
        let mut observed = lock(&self.observed);
        let status = Status {
            identity: replica.identity(),
            complete: replica.complete(),
            position: replica.position(),
            settled: replica.settled(),
            view: View::default(),
            suspect: None,
        };
        let view = if observed.status.view.number == replica.view().number {
            std::mem::take(&mut observed.status.view)
        } else {
            observed.failing = None;
            observed.positions.clear();
            replica.view().clone()
        };
        let settled = status.settled && !observed.status.settled;
        observed.status = Status { view, ..status };
        drop(observed);
        if settled {
            self.changed.notify_all();
        }
    }

    /// What this member says of itself.
    pub fn status(&self) -> Status {
        let observed = lock(&self.observed);
        let failing = observed.failing.filter(|failing| failing.1.elapsed() >= self.options.suspect_after);
        Status { suspect: failing.map(|failing| failing.0), ..observed.status.clone() }
    }

    pub fn is_head(&self) -> bool {
        let observed = lock(&self.observed);
        let status = &observed.status;
        status.complete && status.view.head().is_some_and(|head| head.identity == status.identity)
    }

    /// Where the head of the newest known view is called.
    pub fn head_address(&self) -> Option<SocketAddr> {
        lock(&self.observed).status.view.head().map(|head| head.address)
    }

    /// Time since the chain was last known to be whole here.
    pub fn healthy_age(&self) -> Option<Duration> {
        lock(&self.observed).healthy_at.map(|at| at.elapsed())
    }

    /// Time since anything of the chain was heard here.
    pub fn heard_age(&self) -> Option<Duration> {
        lock(&self.observed).heard_at.map(|at| at.elapsed())
    }

    /// The volatile data that the head gave last.
    pub fn notice(&self) -> Vec<u8> {
        lock(&self.observed).notice.0.clone()
    }

    /// Sets the data that the head gives to all members.
    pub fn set_notice(&self, notice: Vec<u8>) {
        lock(&self.observed).notice = Bytes(notice);
        self.changed.notify_all();
    }

    /// Waits until the state was settled anew or the notice has changed, for `within` at most.
    pub fn wait_for_change(&self, within: Duration) {
        let observed = lock(&self.observed);
        drop(self.changed.wait_timeout(observed, within));
    }

    /// Wakes everyone who waits for a change.
    pub fn notify_change(&self) {
        self.changed.notify_all();
    }

    /// Takes notice of a view.
    pub fn learn(&self, view: &View) -> bool {
        if view.number <= lock(&self.observed).status.view.number {
            return false;
        }
        let learnt = self.with_replica(|replica| replica.learn(view));
        match &learnt {
            Ok(true) => info!("view {} with {}", view.number, view.addresses()),
            Ok(false) => {}
            Err(e) => warn!("a view could not be kept: {e}"),
        }
        self.queued.notify_all();
        matches!(learnt, Ok(true))
    }

    /// Has an operation carried out and acknowledged by the whole chain.
    pub fn submit(&self, operation: M::Operation, within: Duration) -> Answer<M::Output> {
        let mut outputs = self.submit_all(vec![operation], within)?;
        outputs.pop().ok_or(Refused::Unknown)
    }

    /// Has operations carried out, in order, and acknowledged by the whole chain.
    pub fn submit_all(&self, operations: Vec<M::Operation>, within: Duration) -> Answer<Vec<M::Output>> {
        let until = Instant::now() + within;
        let wait = |answered: Receiver<Answer<M::Output>>| {
            let left = until.saturating_duration_since(Instant::now());
            answered.recv_timeout(left).unwrap_or(Err(Refused::Unknown))
        };
        self.begin_all(operations)?.into_iter().map(wait).collect()
    }

    /// Has operations carried out in one of the next rounds, and does not wait for it.
    pub fn begin_all(&self, operations: Vec<M::Operation>) -> Answer<Vec<Receiver<Answer<M::Output>>>> {
        let mut answers = Vec::new();
        let mut pending = Vec::new();
        for operation in operations {
            let (answer, answered) = sync_channel(1);
            pending.push(Pending::Operation(operation, answer));
            answers.push(answered);
        }
        self.enqueue(pending)?;
        Ok(answers)
    }

    /// Reads the state that the whole chain holds; confirms that this member is the head and no newer state exists.
    pub fn read<R: Send + 'static>(
        &self,
        f: impl FnOnce(&M) -> R + Send + 'static,
        within: Duration,
    ) -> Answer<R> {
        self.begin_read(f)?.recv_timeout(within).unwrap_or(Err(Refused::Unknown))
    }

    /// Reads the state in one of the next rounds, and does not wait for it.
    pub fn begin_read<R: Send + 'static>(
        &self,
        f: impl FnOnce(&M) -> R + Send + 'static,
    ) -> Answer<Receiver<Answer<R>>> {
        let (answer, answered) = sync_channel(1);
        let call = move |state: Answer<&M>| drop(answer.try_send(state.map(f)));
        self.enqueue(vec![Pending::Read(Box::new(call))])?;
        Ok(answered)
    }

    fn enqueue(&self, pending: Vec<Pending<M>>) -> Result<(), Refused> {
        if !self.is_head() {
            return Err(Refused::NotHead(self.head_address()));
        }
        lock(&self.queue).extend(pending);
        self.queued.notify_all();
        Ok(())
    }

    fn take_pending(&self) -> Vec<Pending<M>> {
        let queue = lock(&self.queue);
        let timed = self.queued.wait_timeout_while(queue, self.options.heartbeat, |queue| queue.is_empty());
        let (mut queue, _) = timed.unwrap_or_else(PoisonError::into_inner);
        Self::take_round(&mut queue)
    }

    /// Takes what one round carries off the front of the queue.
    fn take_round(queue: &mut Vec<Pending<M>>) -> Vec<Pending<M>> {
        let mut bytes = 0;
        let fits = |pending: &Pending<M>| {
            let Pending::Operation(operation, _) = pending else { return true };
            let size = M::size_of(operation);
            // Small ones do not wait for large ones; of these the first always goes.
            let fits = size < SMALL || bytes == 0 || bytes + size <= ROUND_MOST;
            if fits && size >= SMALL {
                bytes += size;
            }
            fits
        };
        let (taken, left) = std::mem::take(queue).into_iter().partition(fits);
        *queue = left;
        taken
    }

    /// Runs the head's rounds, until the process ends.
    pub fn run_head(&self) {
        loop {
            let pending = self.take_pending();
            if self.is_head() {
                self.round(pending, true);
            } else {
                self.refuse(pending, &Refused::NotHead(self.head_address()));
            }
        }
    }

    /// Runs one round of the head's without waiting for work, and passes it down the chain once; for callers with a clock of
    /// their own.
    pub fn run_round(&self) {
        let pending = Self::take_round(&mut lock(&self.queue));
        if self.is_head() {
            self.round(pending, false);
        } else {
            self.refuse(pending, &Refused::NotHead(self.head_address()));
        }
    }

    fn refuse(&self, pending: Vec<Pending<M>>, why: &Refused) {
        for pending in pending {
            // Whoever asked may have given up.
            match pending {
                Pending::Operation(_, answer) => drop(answer.try_send(Err(why.clone()))),
                Pending::Read(call) => call(Err(why.clone())),
            }
        }
    }

    fn round(&self, pending: Vec<Pending<M>>, insist: bool) {
        let mut operations = Vec::new();
        let mut answers = Vec::new();
        let mut reads = Vec::new();
        let enough = lock(&self.observed).status.view.members.len() >= self.options.copies;
        for pending in pending {
            match pending {
                Pending::Operation(operation, answer) if enough => {
                    operations.push(operation);
                    answers.push(answer);
                }
                Pending::Operation(_, answer) => drop(answer.try_send(Err(Refused::TooFew))),
                Pending::Read(call) => reads.push(call),
            }
        }
        let (outputs, replaced) = match self.order(&operations) {
            Ok(ordered) => ordered,
            Err(e) => {
                warn!("the disk refused an entry: {e}");
                let unknown = answers.into_iter().zip(operations);
                let unknown = unknown.map(|(answer, operation)| Pending::Operation(operation, answer));
                self.refuse(unknown.chain(reads.into_iter().map(Pending::Read)).collect(), &Refused::Unknown);
                return;
            }
        };
        let through = self.pass_round(insist && !outputs.is_empty(), replaced);
        for (answer, output) in answers.iter().zip(outputs) {
            drop(answer.try_send(if through { Ok(output) } else { Err(Refused::Unknown) }));
        }
        if through && !reads.is_empty() {
            let replica = lock(&self.replica);
            let stands = replica.is_head() && replica.replaced() == replaced;
            let state = || if stands { Ok(replica.machine()) } else { Err(Refused::Unknown) };
            reads.into_iter().for_each(|call| call(state()));
        } else {
            reads.into_iter().for_each(|call| call(Err(Refused::Unknown)));
        }
    }

    /// Orders operations, and tells how often the state had been replaced by then.
    fn order(&self, operations: &Vec<M::Operation>) -> std::io::Result<(Vec<M::Output>, u64)> {
        self.with_replica(|replica| {
            let outputs = if operations.is_empty() { Vec::new() } else { replica.propose(operations)? };
            Ok((outputs, replica.replaced()))
        })
    }

    /// Passes the head's state down the chain; an entry again and again until it is held or the view has changed so that this
    /// member is not the head.
    fn pass_round(&self, insist: bool, replaced: u64) -> bool {
        loop {
            let healthy = lock(&self.observed).failing.is_none();
            match self.pass_on(healthy, Part::Head { replaced }) {
                Ok(()) => return true,
                Err(failure) => self.note_failure(&failure),
            }
            let replaced_since = lock(&self.replica).replaced() != replaced;
            if !insist || !self.is_head() || replaced_since {
                return false;
            }
            std::thread::sleep(RETRY_PAUSE);
        }
    }

    fn note_failure(&self, failure: &Failure) {
        let mut observed = lock(&self.observed);
        if let Failure::At(address) = failure {
            if observed.failing.is_none_or(|failing| failing.0 != *address) {
                observed.failing = Some((*address, Instant::now()));
            }
        }
    }

    /// Brings the members that follow to this member's position, and settles it.
    fn pass_on(&self, healthy: bool, part: Part) -> Result<(), Failure> {
        let _passing = lock(&self.passing);
        for _ in 0..ATTEMPTS {
            let mut replica = lock(&self.replica);
            let plays = match part {
                Part::Head { replaced } => replica.is_head() && replica.replaced() == replaced,
                Part::Member { view } => replica.complete() && replica.view().number == view,
            };
            if !plays || !replica.view().contains(replica.identity()) {
                return Err(Failure::View);
            }
            let position = replica.position();
            let Some((successor, left)) = replica.successor().map(|(member, left)| (member.clone(), left))
            else {
                replica.settle(position);
                self.publish(&replica);
                drop(replica);
                self.note_healthy(healthy);
                return Ok(());
            };
            let (notice, from) = {
                let observed = lock(&self.observed);
                let known = observed.positions.get(&successor.identity).copied();
                (observed.notice.clone(), known.unwrap_or(position))
            };
            let Some(entries) = replica.entries_since(from) else {
                let install = replica.install_message();
                drop(replica);
                self.send_state(&successor, &install)?;
                continue;
            };
            let view = replica.view().clone();
            drop(replica);
            let append = Append { view, from, entries, to: position, healthy, notice };
            let within = self.options.member_time * u32::try_from(left + 1).unwrap_or(u32::MAX);
            let reply = self.transport.append(&successor, &append, within);
            if self.judge(&successor, reply, position)? {
                let stands = self.with_replica(|replica| {
                    let stands = replica.view().number == append.view.number;
                    if stands {
                        replica.settle(position);
                    }
                    stands
                });
                if !stands {
                    continue;
                }
                self.note_healthy(healthy);
                return Ok(());
            }
        }
        let replica = lock(&self.replica);
        Err(replica.successor().map_or(Failure::View, |(member, _)| Failure::At(member.address)))
    }

    fn note_healthy(&self, healthy: bool) {
        let mut observed = lock(&self.observed);
        observed.failing = None;
        let now = Instant::now();
        observed.heard_at = Some(now);
        if healthy {
            observed.healthy_at = Some(now);
        }
    }

    fn send_state(&self, successor: &Member, install: &Install) -> Result<(), Failure> {
        info!("sends its whole state, {} bytes, to {}", install.machine.0.len(), successor.address);
        let reply = self.transport.install(successor, install, self.options.install_time);
        self.judge(successor, reply, install.position).map(drop)
    }

    /// Whether the successor holds `position`; `Ok(false)` where it has told another one.
    fn judge(
        &self,
        successor: &Member,
        reply: Option<AppendReply>,
        position: Position,
    ) -> Result<bool, Failure> {
        let known = |position| lock(&self.observed).positions.insert(successor.identity, position);
        match reply {
            Some(AppendReply::Held) => {
                known(position);
                Ok(true)
            }
            Some(AppendReply::Mismatch(theirs)) => {
                known(theirs);
                Ok(false)
            }
            Some(AppendReply::Stale(view)) => {
                self.learn(&view);
                Err(Failure::View)
            }
            Some(AppendReply::Failed(address)) => {
                known(position);
                Err(Failure::At(address))
            }
            Some(AppendReply::NotMember | AppendReply::Storage) | None => Err(Failure::At(successor.address)),
        }
    }

    /// Takes what the member before this one sends, and passes it on.
    pub fn handle_append(&self, append: &Append) -> AppendReply {
        let received = self.with_replica(|replica| replica.receive(append));
        if let Some(refusal) = refusal(received) {
            return refusal;
        }
        {
            let mut observed = lock(&self.observed);
            let now = Instant::now();
            observed.heard_at = Some(now);
            if observed.notice != append.notice {
                observed.notice = append.notice.clone();
                self.changed.notify_all();
            }
        }
        match self.pass_on(append.healthy, Part::Member { view: append.view.number }) {
            Ok(()) => AppendReply::Held,
            Err(Failure::At(address)) => AppendReply::Failed(address),
            Err(Failure::View) => AppendReply::Stale(lock(&self.observed).status.view.clone()),
        }
    }

    /// Takes a whole state.
    pub fn handle_install(&self, install: &Install) -> AppendReply {
        let received = self.with_replica(|replica| replica.install(install));
        refusal(received).unwrap_or(AppendReply::Held)
    }
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

#[cfg(test)]
mod tests;
