//! Submission and end of batch jobs, and the bodies of their items.

use super::context::{rejection_reply, Context};
use super::operations::PendingOperation;
use marblecroft_batch_state::{NewJob, Operation, Output as Outcome};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{ProposalError, Token};
use marblecroft_protocol::store::StoreReply;
use std::time::Duration;

/// Proposes a job if it fits its quota. For a job over its quota only a read is submitted to the chain, to
/// confirm that this state is the newest, because the rejection is final.
pub(super) fn submit<S: Storage>(ctx: &mut Context<S>, now: Duration, token: Token, job: NewJob) {
    if ctx.jobs().fits_quota(&job) {
        ctx.propose(now, Operation::SubmitJob(job), PendingOperation::SubmitJob { token });
    } else {
        ctx.read_index(now, PendingOperation::ConfirmOverQuota { token, job });
    }
}

/// Decides on a job that was over its quota, after the chain has confirmed that this state is the newest.
pub(super) fn confirm_over_quota<S: Storage>(ctx: &mut Context<S>, now: Duration, token: Token, job: NewJob) {
    if ctx.jobs().fits_quota(&job) {
        ctx.propose(now, Operation::SubmitJob(job), PendingOperation::SubmitJob { token });
    } else {
        ctx.reply(token, StoreReply::OverQuota);
    }
}

/// Returns the reply to the submission of a job.
pub(super) fn submission_reply(result: Result<Outcome, ProposalError>) -> StoreReply {
    match result {
        Ok(Outcome::Accepted) => StoreReply::Accepted,
        Ok(Outcome::OverQuota) => StoreReply::OverQuota,
        Ok(Outcome::Conflict) => StoreReply::Conflict,
        Ok(Outcome::Applied | Outcome::UnknownJob) => StoreReply::OutcomeUnknown,
        Err(e) => rejection_reply(e),
    }
}

/// Returns the reply to a request to end a job.
pub(super) fn end_reply(result: Result<Outcome, ProposalError>) -> StoreReply {
    match result {
        Ok(Outcome::UnknownJob) => StoreReply::NotFound,
        Ok(_) => StoreReply::Ended,
        Err(e) => rejection_reply(e),
    }
}

/// Returns the reply with the body of an item, which is only available while the item has no result.
pub(super) fn item_body_reply<S: Storage>(ctx: &Context<S>, job: &str, item: &str) -> StoreReply {
    let job = ctx.jobs().job(job).filter(|job| !job.is_ended());
    let body = job.and_then(|job| Some(job.pending_item_by_id(item)?.body.0.clone()));
    body.map_or(StoreReply::NotFound, StoreReply::Body)
}
