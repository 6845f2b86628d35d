//! One member of a chain, as a state machine without I/O.
//!
//! The caller passes in messages, replies to its calls and the time, and carries out the [`Output`]s:
//!
//! 1. [`Chain::propose`] queues an operation, [`Chain::read_index`] a read.
//! 2. [`Chain::advance`] begins a round at the head: it appends the queued operations to this member's storage as one entry
//!    and sends that to the successor.
//! 3. Every other member stores the entry ([`Chain::handle_append`]) and forwards it with its next `advance`.
//! 4. The tail replies, and the replies travel back up the chain ([`Chain::handle_reply`]). Once the head has
//!    received one, every member has the entry: the operations are acknowledged and the reads confirmed.
//!
//! A round without operations is a heartbeat. A read is confirmed by a round that began after the read was
//! queued: only a round in which all members took part shows that no later view has acknowledged an operation
//! yet.
//!
//! A member has at most one call in flight, so it never reorders the entries that it sends to its successor.

mod rounds;
mod storage_recovery;

pub use storage_recovery::random_identity;

use crate::config::Config;
use crate::error::ProposalError;
use crate::failure_detector::FailureDetector;
use crate::in_flight::{InFlightAppend, RoundWaiters};
use crate::lease::Lease;
use crate::message::{Append, AppendReply, Install, Round, Status};
use crate::output::{Output, Token};
use crate::pending::{PendingRequests, QueuedOperation, Waiter};
use crate::position::Position;
use crate::replica::{AppendOutcome, Replica};
use crate::state_machine::StateMachine;
use crate::storage::Storage;
use crate::view::View;
use marblecroft_rpc::Bytes;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use storage_recovery::StorageRecovery;
use tracing::{info, warn};

/// The role of a member at its last input. After a change some requests can no longer be completed.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Role {
    view: u64,
    is_head: bool,
    restore_count: u64,
}

impl Role {
    fn of<M: StateMachine, S: Storage>(replica: &Replica<M, S>) -> Role {
        Role {
            view: replica.view().number,
            is_head: replica.is_head(),
            restore_count: replica.restore_count(),
        }
    }
}

/// A member of a chain.
pub struct Chain<M: StateMachine, S> {
    replica: Replica<M, S>,
    config: Config,
    role: Role,
    pending: PendingRequests<M::Operation, M::Output>,
    /// Tokens of the predecessor's messages, which are replied to with the outcome of the next round.
    upstream_tokens: Vec<Token>,
    in_flight: Option<InFlightAppend>,
    last_call: u64,
    /// Number of messages of the current round that the successor rejected with a mismatch.
    append_attempts: usize,
    /// The latest round that this member started as the head.
    round: Round,
    /// The round that this member forwards while it is not the head.
    forwarded_round: Round,
    next_heartbeat_at: Duration,
    next_attempt_at: Duration,
    lease: Lease,
    last_committed_round_at: Option<Duration>,
    last_append_received_at: Option<Duration>,
    failures: FailureDetector,
    /// The last known positions of other members, by identity.
    peer_positions: HashMap<u64, Position>,
    broadcast: Bytes,
    draining: bool,
    storage_recovery: StorageRecovery,
}

impl<M: StateMachine, S: Storage> Chain<M, S> {
    /// Creates a member with this state. `session` is a random number that each process draws at its start:
    /// it distinguishes the rounds of this process from those of an earlier one.
    pub fn new(replica: Replica<M, S>, config: Config, session: u64) -> Chain<M, S> {
        Chain {
            role: Role::of(&replica),
            replica,
            config,
            pending: PendingRequests::new(),
            upstream_tokens: Vec::new(),
            in_flight: None,
            last_call: 0,
            append_attempts: 0,
            round: Round { session, ..Round::default() },
            forwarded_round: Round::default(),
            next_heartbeat_at: Duration::ZERO,
            next_attempt_at: Duration::ZERO,
            lease: Lease::default(),
            last_committed_round_at: None,
            last_append_received_at: None,
            failures: FailureDetector::default(),
            peer_positions: HashMap::new(),
            broadcast: Bytes::default(),
            draining: false,
            storage_recovery: StorageRecovery::new(session),
        }
    }

    /// Releases the lease, and reports this member as draining from now on. Called when the process is about
    /// to exit.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Whether [`Chain::start_draining`] was called.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns this member's durable state.
    pub fn replica(&self) -> &Replica<M, S> {
        &self.replica
    }

    /// Returns the state machine if every member is known to have its state.
    pub fn committed_machine(&self) -> Option<&M> {
        self.replica.is_committed().then(|| self.replica.machine())
    }

    /// Returns the status that this member reports to others.
    pub fn status(&self, now: Duration) -> Status {
        Status {
            identity: self.replica.identity(),
            view: self.replica.view().clone(),
            complete: self.replica.is_complete(),
            position: self.replica.position(),
            committed: self.replica.is_committed(),
            suspect: self.failures.suspect(now, self.config.suspect_timeout),
            draining: self.draining,
        }
    }

    /// Whether this member orders operations.
    pub fn is_head(&self) -> bool {
        self.replica.is_head()
    }

    /// Returns the address of the head of the newest known view.
    pub fn head_address(&self) -> Option<SocketAddr> {
        self.replica.view().head().map(|head| head.address)
    }

    /// Returns the latest time, by the clock whose time is passed in, at which every member is known to have
    /// been in this member's view: no operation was acknowledged in a later view before that time. Returns
    /// `None` if this process is not a complete member or is draining.
    pub fn lease_confirmed_at(&self) -> Option<Duration> {
        let is_member = self.replica.is_complete() && self.replica.view().contains(self.replica.identity());
        self.lease.confirmed_at().filter(|_| is_member && !self.draining)
    }

    /// Returns when this member last received confirmation that a round went through the complete chain.
    pub fn last_committed_round_at(&self) -> Option<Duration> {
        self.last_committed_round_at
    }

    /// Returns when this member last received an append, or completed a round.
    pub fn last_append_received_at(&self) -> Option<Duration> {
        self.last_append_received_at
    }

    /// Returns the volatile data that the head sent last.
    pub fn broadcast(&self) -> &[u8] {
        &self.broadcast.0
    }

    /// Sets the volatile data that the head sends to all members with every round.
    pub fn set_broadcast(&mut self, broadcast: Vec<u8>) {
        self.broadcast = Bytes(broadcast);
    }

    /// Changes this member's durable state outside the chain's own messages: by a vote, a view that was
    /// received from another process, or a fetched state. [`Chain::advance`] must be called afterwards.
    pub fn with_replica<R>(&mut self, f: impl FnOnce(&mut Replica<M, S>) -> R) -> R {
        f(&mut self.replica)
    }

    /// Installs a view if it is newer than the current one. A storage error leaves the current view in force.
    pub fn install_view(&mut self, view: &View) {
        match self.replica.install_view(view) {
            Ok(true) => info!(view = view.number, members = %view.addresses(), "view installed"),
            Ok(false) => {}
            Err(error) => warn!(view = view.number, %error, "view not persisted"),
        }
    }

    /// Queues an operation, which is acknowledged once every member has stored it. If its deadline passes
    /// after it was ordered, it is reported as [`ProposalError::OutcomeUnknown`] and may still be applied.
    pub fn propose(&mut self, token: Token, operation: M::Operation, deadline: Duration) {
        self.pending.push_operation(QueuedOperation { waiter: Waiter { token, deadline }, operation });
    }

    /// Queues a read, which is confirmed by a round that begins after this call, as with Raft's ReadIndex.
    pub fn read_index(&mut self, token: Token, deadline: Duration) {
        self.pending.extend_reads([Waiter { token, deadline }]);
    }

    /// Returns the time at which [`Chain::advance`] must be called if there is no further input before.
    pub fn next_wake(&self) -> Duration {
        let deadline = self.pending.next_deadline().unwrap_or(Duration::MAX);
        if self.replica.is_suspended() {
            return self.storage_recovery.next_attempt_at().min(deadline);
        }
        if self.in_flight.is_some() || !self.is_head() {
            return deadline;
        }
        self.next_round_at().min(deadline)
    }

    fn next_round_at(&self) -> Duration {
        if self.pending.is_empty() {
            self.next_heartbeat_at
        } else {
            self.next_attempt_at
        }
    }

    /// Starts everything that is due. Must be called after every input, until it adds no further outputs.
    pub fn advance(&mut self, now: Duration, outputs: &mut Vec<Output<M::Output>>) {
        if self.replica.is_suspended() {
            self.storage_recovery.attempt_if_due(now, &mut self.replica);
        }
        self.on_role_change(outputs);
        self.pending.expire(now, outputs);
        if self.replica.is_suspended() {
            let failed = |token| Output::Reply { token, reply: AppendReply::StorageError };
            outputs.extend(std::mem::take(&mut self.upstream_tokens).into_iter().map(failed));
            return;
        }
        if self.in_flight.is_some() {
            return;
        }
        if self.is_head() {
            if now >= self.next_round_at() {
                self.start_round(now, outputs);
            }
        } else if !self.upstream_tokens.is_empty() {
            self.append_attempts = 0;
            let upstream_tokens = std::mem::take(&mut self.upstream_tokens);
            self.send_append(now, RoundWaiters { reads: Vec::new(), upstream_tokens }, outputs);
        }
    }

    /// Fails the requests that this member can no longer complete, after its view, its position in the view
    /// or its state has changed.
    fn on_role_change(&mut self, outputs: &mut Vec<Output<M::Output>>) {
        let role = Role::of(&self.replica);
        let previous = std::mem::replace(&mut self.role, role);
        if role.view != previous.view {
            self.on_view_change(outputs);
        }
        if !role.is_head || role.restore_count != previous.restore_count {
            // The outputs were computed on a state that other members may never reach.
            self.pending.abandon_uncommitted(outputs);
        }
        if !role.is_head {
            let error = ProposalError::NotHead(self.head_address());
            self.pending.reject_queued(&error, outputs);
            let in_flight_reads =
                self.in_flight.iter_mut().flat_map(|call| std::mem::take(&mut call.waiters.reads));
            let reads = self.pending.take_reads().into_iter().chain(in_flight_reads);
            outputs
                .extend(reads.map(|read| Output::Readable { token: read.token, result: Err(error.clone()) }));
        }
    }

    /// Abandons the call in flight, keeping its reads for the next round, and rejects the predecessor's
    /// messages: rounds of the previous view prove nothing about the new one.
    fn on_view_change(&mut self, outputs: &mut Vec<Output<M::Output>>) {
        self.failures.reset();
        self.peer_positions.clear();
        self.round.confirmed = 0;
        if let Some(call) = self.in_flight.take() {
            self.pending.extend_reads(call.waiters.reads);
            self.upstream_tokens.extend(call.waiters.upstream_tokens);
        }
        let view = self.replica.view().clone();
        let stale = |token| Output::Reply { token, reply: AppendReply::StaleView(view.clone()) };
        outputs.extend(std::mem::take(&mut self.upstream_tokens).into_iter().map(stale));
    }

    /// Handles the reply to a call of this member; `None` if none arrived in time.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        call: u64,
        reply: Option<AppendReply>,
        outputs: &mut Vec<Output<M::Output>>,
    ) {
        self.on_role_change(outputs);
        let Some(in_flight) = self.in_flight.take_if(|in_flight| in_flight.call == call) else { return };
        self.on_append_reply(now, in_flight, reply, outputs);
    }

    /// Handles entries, or a heartbeat, from the predecessor. The reply follows when the members from this
    /// one to the tail have stored the entries.
    pub fn handle_append(
        &mut self,
        now: Duration,
        token: Token,
        append: &Append,
        outputs: &mut Vec<Output<M::Output>>,
    ) {
        let outcome = self.replica.append(append);
        self.on_role_change(outputs);
        if let Some(reply) = rejection(outcome) {
            outputs.push(Output::Reply { token, reply });
            return;
        }
        self.last_append_received_at = Some(now);
        self.lease.on_round_handled(now, append.view.number, append.round);
        if self.broadcast != append.broadcast {
            self.broadcast = append.broadcast.clone();
        }
        self.forwarded_round = append.round;
        self.upstream_tokens.push(token);
    }

    /// Handles a complete state that replaces this member's own. The reply does not wait for the members that
    /// follow: the predecessor sends an append next, whose reply waits for them.
    pub fn handle_install(&mut self, token: Token, install: &Install, outputs: &mut Vec<Output<M::Output>>) {
        let outcome = self.replica.install(install);
        self.on_role_change(outputs);
        let reply = rejection(outcome).unwrap_or(AppendReply::Accepted { durable_replicas: 0 });
        outputs.push(Output::Reply { token, reply });
    }
}

/// Returns the reply to a rejected message; `None` if the message was accepted.
fn rejection(outcome: AppendOutcome) -> Option<AppendReply> {
    match outcome {
        AppendOutcome::Accepted => None,
        AppendOutcome::Mismatch(position) => Some(AppendReply::Mismatch(position)),
        AppendOutcome::StaleView(view) => Some(AppendReply::StaleView(view)),
        AppendOutcome::NotMember => Some(AppendReply::NotMember),
        AppendOutcome::StorageError(error) => {
            warn!(%error, "message not persisted");
            Some(AppendReply::StorageError)
        }
    }
}
