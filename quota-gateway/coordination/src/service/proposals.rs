//! Operations of clients. All that wait while an entry is on its way share the next one, and so its syncs.

use super::Service;
use crate::metrics::RejectionReason;
use crate::raft::Raft;
use crate::state::{bounds, ClientId, Command, Op, Outcome, Refused};
use crate::wire::Response;
use openraft::error::{ClientWriteError, RaftError};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Operations that share an entry, at most.
const MAX_ENTRY_COMMANDS: usize = 256;
/// Bytes of operations after which no other one is added to an entry.
const MAX_ENTRY_BYTES: usize = 1 << 20;

/// A command for the log, and who waits for its result.
pub(super) struct Proposal {
    command: Command,
    result: oneshot::Sender<Proposed>,
}

/// The result of a proposal.
#[derive(Clone)]
enum Proposed {
    /// The command was applied.
    Applied(Outcome),
    /// Nothing was done: another process leads.
    NotLeader,
    /// The command may be in the log all the same.
    Unknown(String),
}

impl Service {
    /// Carries out a client's operation, once for each number.
    pub(super) async fn call(&self, client: ClientId, number: u64, done: u64, op: Op) -> Response {
        if !self.is_serving() {
            return self.not_serving();
        }
        self.last_heard_at.borrow_mut().insert(client, Instant::now());
        let (result, proposed) = oneshot::channel();
        let command = Command::Call { client, number, done, op };
        if self.proposals.send(Proposal { command, result }).await.is_err() {
            return Response::No("the process ends".to_owned());
        }
        match proposed.await {
            Ok(Proposed::Applied(Err(Refused::Busy(after_ms)))) => {
                self.metrics.count_rejection(RejectionReason::State);
                Response::Busy { after_ms }
            }
            Ok(Proposed::Applied(outcome)) => Response::Outcome(outcome),
            Ok(Proposed::NotLeader) => self.not_leader(),
            Ok(Proposed::Unknown(reason)) => Response::Unknown(reason),
            Err(_) => Response::Unknown("the process ends".to_owned()),
        }
    }
}

/// Proposes what is queued until the service is dropped.
pub(super) async fn propose_batches(raft: Raft, mut queue: mpsc::Receiver<Proposal>) {
    while let Some(first) = queue.recv().await {
        let batch = next_batch(first, &mut queue);
        let (commands, waiting): (Vec<Command>, Vec<oneshot::Sender<Proposed>>) =
            batch.into_iter().map(|proposal| (proposal.command, proposal.result)).unzip();
        let results = propose(&raft, commands).await;
        for (waiting, result) in waiting.into_iter().zip(results) {
            // Whoever asked may have gone.
            drop(waiting.send(result));
        }
    }
}

/// The first proposal, and those that wait behind it, as many as an entry takes.
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
async fn propose(raft: &Raft, commands: Vec<Command>) -> Vec<Proposed> {
    let count = commands.len();
    match raft.client_write(commands).await {
        Ok(written) => written.data.0.into_iter().map(applied).collect(),
        Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_))) => vec![Proposed::NotLeader; count],
        Err(error) => vec![Proposed::Unknown(error.to_string()); count],
    }
}

fn applied(outcome: Option<Outcome>) -> Proposed {
    match outcome {
        Some(outcome) => Proposed::Applied(outcome),
        None => Proposed::Unknown("a call had no outcome".to_owned()),
    }
}
