//! Operations that change the replicated state, and their outputs.

use crate::item::ItemOutcome;
use crate::job::NewJob;
use musli::{Decode, Encode};

/// An operation on the replicated state, as it is proposed and logged.
///
/// Variants and fields are encoded by their position: new ones are appended, and none is reordered.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Operation {
    /// Accepts a job if its tokens fit the route's quota.
    SubmitJob(NewJob),
    /// Records an item's outcome. Ignored if the item already has one or its job is unknown.
    RecordResult {
        /// Id of the job.
        job: String,
        /// Index of the item in the job, from 0.
        item: u32,
        /// The outcome of the item.
        outcome: ItemOutcome,
    },
    /// Ends a job: its remaining items are not run.
    EndJob {
        /// Id of the job.
        job: String,
    },
    /// Removes the jobs that were accepted before a given time and are ended or complete.
    ExpireJobs {
        /// The time in milliseconds since 1970, by the clock of the head that proposed the operation.
        accepted_before_ms: u64,
    },
}

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The job is stored, by this submission or by an identical earlier one.
    Accepted,
    /// The job's tokens exceed the route's quota.
    OverQuota,
    /// Another job is stored under the same id.
    Conflict,
    /// The operation was carried out.
    Applied,
    /// No such job is stored.
    UnknownJob,
}
