//! The replicated state: all jobs, and the queued tokens of each route.

use crate::item::ItemOutcome;
use crate::job::{Job, NewJob};
use crate::operation::{Operation, Output};
use marblecroft_chain_replication::StateMachine;
use marblecroft_rpc::{decode, encode};
use musli::{Decode, Encode};
use std::collections::BTreeMap;

/// The stores' replicated state.
///
/// Its snapshot encodes the fields by their position: new ones are appended, and none is reordered.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct BatchState {
    /// By id.
    jobs: BTreeMap<String, Job>,
    /// Number of jobs accepted so far, which is the sequence number of the latest one.
    accepted_jobs: u64,
    /// Tokens of items that have no result and whose job is not ended, by route.
    queued_tokens: BTreeMap<String, u64>,
}

impl BatchState {
    /// Returns the job with an id.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns the jobs that have items to run, with their ids, in the order of the ids.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&String, &Job)> {
        self.jobs.iter().filter(|(_, job)| job.is_open())
    }

    /// Returns all stored jobs with their ids, in the order of the ids.
    pub fn jobs(&self) -> impl Iterator<Item = (&String, &Job)> {
        self.jobs.iter()
    }

    /// Returns the number of queued tokens of a route.
    pub fn queued_tokens(&self, route: &str) -> u64 {
        self.queued_tokens.get(route).copied().unwrap_or(0)
    }

    /// Returns whether the tokens of the job fit the quota of the route, or a job with its id is already
    /// stored.
    pub fn fits_quota(&self, new: &NewJob) -> bool {
        let after = self.queued_tokens(&new.route).saturating_add(new.tokens());
        new.max_queued_tokens == 0 || after <= new.max_queued_tokens || self.jobs.contains_key(&new.id)
    }

    fn submit(&mut self, new: NewJob) -> Output {
        if let Some(stored) = self.jobs.get(&new.id) {
            return if stored.is_resubmission(&new) { Output::Accepted } else { Output::Conflict };
        }
        if !self.fits_quota(&new) {
            return Output::OverQuota;
        }
        let queued = self.queued_tokens(&new.route).saturating_add(new.tokens());
        self.queued_tokens.insert(new.route.clone(), queued);
        self.accepted_jobs += 1;
        let id = new.id.clone();
        self.jobs.insert(id, Job::new(new, self.accepted_jobs));
        Output::Accepted
    }

    /// Applies a change to a job and subtracts the tokens that it releases from the queued tokens of the
    /// route.
    fn change_job(&mut self, id: &str, change: impl FnOnce(&mut Job) -> u64) -> Output {
        let Some(job) = self.jobs.get_mut(id) else { return Output::UnknownJob };
        let released_tokens = change(job);
        if let Some(queued) = self.queued_tokens.get_mut(&job.route) {
            *queued = queued.saturating_sub(released_tokens);
        }
        Output::Applied
    }

    fn record(&mut self, id: &str, item: u32, outcome: ItemOutcome) -> Output {
        self.change_job(id, |job| job.record(item, outcome))
    }

    fn end(&mut self, id: &str) -> Output {
        self.change_job(id, Job::end)
    }

    fn expire(&mut self, accepted_before_ms: u64) -> Output {
        self.jobs.retain(|_, job| job.is_open() || job.accepted_at_ms >= accepted_before_ms);
        Output::Applied
    }
}

impl StateMachine for BatchState {
    type Operation = Operation;
    type Output = Output;

    fn apply(&mut self, operation: Operation) -> Output {
        match operation {
            Operation::SubmitJob(new) => self.submit(new),
            Operation::RecordResult { job, item, outcome } => self.record(&job, item, outcome),
            Operation::EndJob { job } => self.end(&job),
            Operation::ExpireJobs { accepted_before_ms } => self.expire(accepted_before_ms),
        }
    }

    fn size_of(operation: &Operation) -> usize {
        match operation {
            Operation::SubmitJob(new) => new.items.iter().map(|item| item.body.0.len()).sum(),
            Operation::RecordResult { outcome: ItemOutcome::Completed(text), .. } => text.len(),
            _ => 0,
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(self)
    }

    fn restore(snapshot: &[u8]) -> Option<BatchState> {
        decode(snapshot).ok()
    }
}
