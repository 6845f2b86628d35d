//! Replication rounds. A round is one attempt to update all members further down the chain to this member's
//! state.

use super::Chain;
use crate::error::ProposalError;
use crate::in_flight::{CompletedRound, InFlightAppend, RoundWaiters};
use crate::message::{Append, AppendReply};
use crate::output::{Output, ToSuccessor};
use crate::pending::{UncommittedOperation, Waiter};
use crate::position::Position;
use crate::state_machine::StateMachine;
use crate::storage::Storage;
use crate::view::Successor;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// Maximum number of messages to the successor in one round. A successor that rejects all of them with a
/// mismatch has failed.
const MAX_APPEND_ATTEMPTS: usize = 4;
/// Delay after a round that failed, or that left operations uncommitted.
const RETRY_BACKOFF: Duration = Duration::from_millis(40);

/// Why a round failed.
enum RoundFailure {
    /// The member at this address does not reply or rejects the round.
    Member(SocketAddr),
    /// There is a newer view, or this member's state was replaced or is no longer complete.
    Superseded,
}

impl<M: StateMachine, S: Storage> Chain<M, S> {
    /// Begins a round as the head.
    pub(super) fn start_round(&mut self, now: Duration, outputs: &mut Vec<Output<M::Output>>) {
        self.append_queued(outputs);
        self.next_heartbeat_at = now + self.config.heartbeat_interval;
        self.append_attempts = 0;
        let reads = self.pending.take_reads();
        self.send_append(now, RoundWaiters { reads, upstream_tokens: Vec::new() }, outputs);
    }

    /// Appends the queued operations of one entry to this member's own storage.
    fn append_queued(&mut self, outputs: &mut Vec<Output<M::Output>>) {
        if self.replica.view().members.len() < self.config.min_replicas {
            self.pending.reject_queued(&ProposalError::NotEnoughReplicas, outputs);
            return;
        }
        let batch = self.pending.take_batch(M::size_of);
        if batch.is_empty() {
            return;
        }
        let (waiters, operations): (Vec<Waiter>, Vec<M::Operation>) =
            batch.into_iter().map(|queued| (queued.waiter, queued.operation)).unzip();
        match self.replica.propose(&operations) {
            Ok(applied) => {
                let index = self.replica.position().index;
                let uncommitted = |(waiter, output)| UncommittedOperation { waiter, index, output };
                self.pending.extend_uncommitted(waiters.into_iter().zip(applied).map(uncommitted));
            }
            Err(error) => {
                // The entry may still have reached the disk, and be found there after a restart.
                warn!(%error, "entry not persisted");
                outputs.extend(waiters.into_iter().map(|waiter| Output::Applied {
                    token: waiter.token,
                    result: Err(ProposalError::OutcomeUnknown),
                }));
            }
        }
    }

    /// Sends the successor the entries or the state that it lacks. At the tail, the round is complete at
    /// once.
    pub(super) fn send_append(
        &mut self,
        now: Duration,
        waiters: RoundWaiters,
        outputs: &mut Vec<Output<M::Output>>,
    ) {
        if self.is_head() {
            self.round.number += 1;
        }
        self.last_call += 1;
        let position = self.replica.position();
        let Some(Successor { member, members_to_tail }) = self.replica.successor() else {
            let round = CompletedRound { started_at: now, position, durable_replicas_downstream: 0, waiters };
            self.on_round_completed(now, round, outputs);
            return;
        };
        let successor = member.clone();
        let successor_position = self.peer_positions.get(&successor.identity).copied().unwrap_or(position);
        let (message, within) = match self.append_since(successor_position) {
            Some(append) => {
                let members = u32::try_from(members_to_tail + 1).unwrap_or(u32::MAX);
                (ToSuccessor::Append(append), self.config.append_timeout * members)
            }
            None => {
                let install = self.replica.snapshot_message();
                info!(bytes = install.machine.0.len(), to = %successor.address, "sending complete state");
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
            waiters,
        });
        outputs.push(Output::Call { call: self.last_call, to: successor, message, within });
    }

    /// Returns the append that advances a member from position `previous` to this member's position; `None` if
    /// that member needs the complete state.
    fn append_since(&self, previous: Position) -> Option<Append> {
        Some(Append {
            view: self.replica.view().clone(),
            round: if self.is_head() { self.round } else { self.forwarded_round },
            previous,
            entries: self.replica.entries_since(previous)?,
            last: self.replica.position(),
            broadcast: self.broadcast.clone(),
        })
    }

    /// Returns whether the reply to this call is still valid. It refers to the state that was sent, and proves
    /// nothing about a state that has replaced it, or about a chain with other members.
    fn is_current(&self, call: &InFlightAppend) -> bool {
        call.view == self.replica.view().number
            && call.restore_count == self.replica.restore_count()
            && self.replica.is_complete()
    }

    /// Continues or ends a round according to the successor's reply.
    pub(super) fn on_append_reply(
        &mut self,
        now: Duration,
        call: InFlightAppend,
        reply: Option<AppendReply>,
        outputs: &mut Vec<Output<M::Output>>,
    ) {
        if !self.is_current(&call) {
            self.on_round_failed(now, RoundFailure::Superseded, call.waiters, outputs);
            return;
        }
        match reply {
            Some(AppendReply::Accepted { durable_replicas }) => {
                self.on_append_accepted(now, call, durable_replicas, outputs);
            }
            Some(AppendReply::Mismatch(position)) => {
                self.on_append_mismatch(now, call, position, outputs);
            }
            Some(AppendReply::StaleView(view)) => {
                self.install_view(&view);
                self.on_round_failed(now, RoundFailure::Superseded, call.waiters, outputs);
            }
            Some(AppendReply::DownstreamFailed(address)) => {
                // The successor itself has the state; another member further down failed.
                self.peer_positions.insert(call.successor.identity, call.position);
                self.on_round_failed(now, RoundFailure::Member(address), call.waiters, outputs);
            }
            Some(AppendReply::NotMember | AppendReply::StorageError) | None => {
                let failure = RoundFailure::Member(call.successor.address);
                self.on_round_failed(now, failure, call.waiters, outputs);
            }
        }
        self.on_role_change(outputs);
    }

    fn on_append_accepted(
        &mut self,
        now: Duration,
        call: InFlightAppend,
        durable_replicas_downstream: usize,
        outputs: &mut Vec<Output<M::Output>>,
    ) {
        self.peer_positions.insert(call.successor.identity, call.position);
        if call.is_install {
            // The reply covers only the successor; the append that follows goes through to the tail.
            self.send_append(now, call.waiters, outputs);
            return;
        }
        let round = CompletedRound {
            started_at: call.started_at,
            position: call.position,
            durable_replicas_downstream,
            waiters: call.waiters,
        };
        self.on_round_completed(now, round, outputs);
    }

    /// Handles a successor whose state is at another position than assumed: the next message begins there.
    fn on_append_mismatch(
        &mut self,
        now: Duration,
        call: InFlightAppend,
        position: Position,
        outputs: &mut Vec<Output<M::Output>>,
    ) {
        self.peer_positions.insert(call.successor.identity, position);
        self.append_attempts += 1;
        if self.append_attempts < MAX_APPEND_ATTEMPTS {
            self.send_append(now, call.waiters, outputs);
        } else {
            let failure = RoundFailure::Member(call.successor.address);
            self.on_round_failed(now, failure, call.waiters, outputs);
        }
    }

    /// Handles a round in which every member from this one to the tail has reached a position. At the head
    /// these are all members of the view, so any of them that heads the next view has the entries up to the
    /// position, and the operations may be acknowledged.
    fn on_round_completed(
        &mut self,
        now: Duration,
        round: CompletedRound,
        outputs: &mut Vec<Output<M::Output>>,
    ) {
        let durable_replicas = round.durable_replicas_downstream + usize::from(self.config.is_durable);
        self.replica.commit(round.position);
        self.failures.reset();
        self.last_append_received_at = Some(now);
        if self.is_head() {
            self.round.confirmed = self.round.number;
            self.lease.renew(round.started_at);
            self.last_committed_round_at = Some(now);
        } else if self.forwarded_round.follows_committed_round() {
            self.last_committed_round_at = Some(now);
        }
        let accepted = |token| Output::Reply { token, reply: AppendReply::Accepted { durable_replicas } };
        outputs.extend(round.waiters.upstream_tokens.into_iter().map(accepted));
        // With too few durable replicas the round is attempted again, as durable members may join.
        if durable_replicas >= self.config.min_replicas {
            self.pending.acknowledge_up_to(round.position.index, outputs);
        }
        if self.pending.has_uncommitted() {
            self.next_attempt_at = now + RETRY_BACKOFF;
        }
        // The state may contain operations that are not committed yet. Reads would see them, and wait for the
        // next round.
        if self.replica.is_committed() {
            let readable = round.waiters.reads.into_iter();
            outputs.extend(readable.map(|read| Output::Readable { token: read.token, result: Ok(()) }));
        } else {
            self.pending.extend_reads(round.waiters.reads);
        }
    }

    /// Keeps the reads for the next attempt, and reports the failure up the chain.
    fn on_round_failed(
        &mut self,
        now: Duration,
        failure: RoundFailure,
        waiters: RoundWaiters,
        outputs: &mut Vec<Output<M::Output>>,
    ) {
        self.pending.extend_reads(waiters.reads);
        self.next_attempt_at = now + RETRY_BACKOFF;
        let reply = match failure {
            RoundFailure::Member(address) => {
                self.failures.on_failure(address, now);
                AppendReply::DownstreamFailed(address)
            }
            RoundFailure::Superseded => AppendReply::StaleView(self.replica.view().clone()),
        };
        let failed = |token| Output::Reply { token, reply: reply.clone() };
        outputs.extend(waiters.upstream_tokens.into_iter().map(failed));
    }
}
