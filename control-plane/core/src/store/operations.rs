//! Purposes of a store's pending operations, reads and calls.

use marblecroft_batch_state::NewJob;
use marblecroft_chain_replication::Token;
use marblecroft_protocol::store::ItemId;
use std::net::SocketAddr;
use std::time::Duration;

/// The purpose of a call to another process.
pub(super) enum CallPurpose {
    /// A message of the chain, with the id that the chain has assigned to the call.
    Chain(u64),
    /// A report to the coordinator at this address.
    Report { to: SocketAddr },
    /// A state transfer from the store at this address.
    Fetch { source: SocketAddr },
}

/// The purpose of an operation or read that waits for the chain.
pub(super) enum PendingOperation {
    SubmitJob {
        token: Token,
    },
    /// A job over its quota is rejected only after a round has confirmed that this state is the newest.
    ConfirmOverQuota {
        token: Token,
        job: NewJob,
    },
    EndJob {
        token: Token,
    },
    ReadResults(ResultsRead),
    ReadItemBody {
        token: Token,
        job: String,
        item: String,
    },
    /// A result that a gateway has reported; `recording` identifies the work request that contained it.
    RecordResult {
        recording: u64,
    },
    GrantWork(WorkCall),
    ExpireJobs,
}

impl PendingOperation {
    /// Returns the token of the request to reply to if the state cannot be read; `None` for operations, which
    /// are not reads.
    pub(super) fn read_token(&self) -> Option<Token> {
        match self {
            PendingOperation::ConfirmOverQuota { token, .. }
            | PendingOperation::ReadItemBody { token, .. } => Some(*token),
            PendingOperation::ReadResults(read) => Some(read.token),
            PendingOperation::GrantWork(work) => Some(work.token),
            PendingOperation::SubmitJob { .. }
            | PendingOperation::EndJob { .. }
            | PendingOperation::RecordResult { .. }
            | PendingOperation::ExpireJobs => None,
        }
    }
}

/// A request for the results of a job.
pub(super) struct ResultsRead {
    pub(super) token: Token,
    pub(super) job: String,
    /// Index of the first result to return.
    pub(super) start: u64,
    /// Time at which the reply is sent even without results.
    pub(super) deadline: Duration,
}

/// A gateway's request for work, without the results that it reports.
pub(super) struct WorkCall {
    pub(super) token: Token,
    pub(super) finished: Vec<ItemId>,
    pub(super) running: Vec<ItemId>,
    pub(super) gateway: String,
    /// Number of further items that the gateway can run.
    pub(super) capacity: usize,
    pub(super) zone: String,
    /// Digest of the peers that the gateway has received last.
    pub(super) peers_digest: u64,
}
