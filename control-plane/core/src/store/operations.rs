//! What a store's pending operations, reads and calls were made for.

use marblecroft_batch_state::NewJob;
use marblecroft_chain_replication::Token;
use marblecroft_protocol::store::ItemId;
use std::net::SocketAddr;
use std::time::Duration;

/// The purpose of a call to another process.
pub(super) enum CallPurpose {
    /// A message of the chain, with the chain's own id of the call.
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
    /// A result that a gateway has reported; `recording` is the id of the [`WorkCall`]'s recording.
    RecordResult {
        recording: u64,
    },
    GrantWork(WorkCall),
    ExpireJobs,
}

impl PendingOperation {
    /// The request to answer where the state cannot be read; `None` for operations that are no reads.
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
    /// Index of the first result that is wanted.
    pub(super) start: u64,
    /// When the request is answered even if there are no results.
    pub(super) deadline: Duration,
}

/// A gateway's request for work, without the results that it reports.
pub(super) struct WorkCall {
    pub(super) token: Token,
    pub(super) finished: Vec<ItemId>,
    pub(super) running: Vec<ItemId>,
    pub(super) gateway: String,
    /// Further items that the gateway can run.
    pub(super) capacity: usize,
    pub(super) zone: String,
    /// Digest of the peers that the gateway knows.
    pub(super) peers_digest: u64,
}
