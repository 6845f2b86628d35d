//! Operations of clients. All operations that arrive while a log entry is in flight share the next entry, and
//! so its syncs.

use super::Service;
use crate::metrics::RejectionReason;
use crate::raft::Raft;
use crate::state::{bounds, ClientId, Command, Op, OperationError, Outcome};
use crate::wire::Response;
use openraft::error::{ClientWriteError, RaftError};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Maximum number of operations that share a log entry.
const MAX_ENTRY_COMMANDS: usize = 256;
/// Size of the operations in an entry, in bytes, from which on no further operation is added.
const MAX_ENTRY_BYTES: usize = 1 << 20;

/// A command for the log, and where to send its result.
pub(super) struct Proposal {
    command: Command,
    result_sender: oneshot::Sender<ProposalResult>,
}

/// The result of a proposal.
#[derive(Clone)]
enum ProposalResult {
    /// The command was applied.
    Applied(Outcome),
    /// Another process leads; the command was not added to the log.
    NotLeader,
    /// It is unknown whether the command is in the log.
    Unknown(String),
}

impl Service {
    /// Applies a client's operation, once for each number.
    pub(super) async fn call(&self, client: ClientId, number: u64, acknowledged: u64, op: Op) -> Response {
        if !self.is_serving() {
            return self.not_serving();
        }
        self.last_call_at.borrow_mut().insert(client, Instant::now());
        let (result_sender, result) = oneshot::channel();
        let command = Command::Call { client, number, acknowledged, op };
        if self.proposals.send(Proposal { command, result_sender }).await.is_err() {
            return Response::Rejected("the process ends".to_owned());
        }
        match result.await {
            Ok(ProposalResult::Applied(Err(OperationError::Busy(after_ms)))) => {
                self.metrics.count_rejection(RejectionReason::State);
                Response::Busy { after_ms }
            }
            Ok(ProposalResult::Applied(outcome)) => Response::Outcome(outcome),
            Ok(ProposalResult::NotLeader) => self.not_leader(),
            Ok(ProposalResult::Unknown(reason)) => Response::Unknown(reason),
            Err(_) => Response::Unknown("the process ends".to_owned()),
        }
    }
}

/// Proposes the queued commands in batches until the service is dropped.
pub(super) async fn propose_batches(raft: Raft, mut queue: mpsc::Receiver<Proposal>) {
    while let Some(first) = queue.recv().await {
        let batch = next_batch(first, &mut queue);
        let (commands, senders): (Vec<Command>, Vec<oneshot::Sender<ProposalResult>>) =
            batch.into_iter().map(|proposal| (proposal.command, proposal.result_sender)).unzip();
        let results = propose(&raft, commands).await;
        for (sender, result) in senders.into_iter().zip(results) {
            // The caller may have given up.
            drop(sender.send(result));
        }
    }
}

/// Returns the first proposal and as many of the queued proposals as fit into one entry.
fn next_batch(first: Proposal, queue: &mut mpsc::Receiver<Proposal>) -> Vec<Proposal> {
    let mut bytes = approximate_bytes(&first.command);
    let mut batch = vec![first];
    while batch.len() < MAX_ENTRY_COMMANDS && bytes < MAX_ENTRY_BYTES {
        let Ok(next) = queue.try_recv() else { break };
        bytes += approximate_bytes(&next.command);
        batch.push(next);
    }
    batch
}

fn approximate_bytes(command: &Command) -> usize {
    match command {
        Command::Call { op: Op::Put { value, .. }, .. } => value.len(),
        Command::Call { op: Op::Batch(_), .. } => bounds::MAX_BATCH_BYTES,
        _ => 0,
    }
}

/// Proposes commands as one entry, and returns the result of each.
async fn propose(raft: &Raft, commands: Vec<Command>) -> Vec<ProposalResult> {
    let count = commands.len();
    match raft.client_write(commands).await {
        Ok(written) => written.data.0.into_iter().map(applied).collect(),
        Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_))) => {
            vec![ProposalResult::NotLeader; count]
        }
        Err(error) => vec![ProposalResult::Unknown(error.to_string()); count],
    }
}

fn applied(outcome: Option<Outcome>) -> ProposalResult {
    match outcome {
        Some(outcome) => ProposalResult::Applied(outcome),
        None => ProposalResult::Unknown("a call had no outcome".to_owned()),
    }
}
