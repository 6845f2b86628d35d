//! The stores' replicated state: batch jobs, their items and results, and the tokens that wait on each route.
//!
//! [`Batch`] is the deterministic state; [`lease::Leases`] is what the head alone holds of who runs which item, which may be
//! lost at any time: an item that is run twice still has one result, the first that was recorded.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod job;
pub mod lease;

pub use job::{Item, ItemOutcome, ItemResult, Job, NewJob};

use marblecroft_chain_replication::StateMachine;
use marblecroft_rpc::{decode, encode};
use musli::{Decode, Encode};
use std::collections::BTreeMap;

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Operation {
    /// Takes a job if its tokens fit.
    SubmitJob(NewJob),
    /// Records an item's outcome, unless it has one or its job is not known.
    RecordResult { job: String, item: u32, outcome: ItemOutcome },
    /// Ends a job: its items are not run any more.
    EndJob { job: String },
    /// Forgets jobs that were taken before this time (milliseconds since 1970, by the head's clock) and have ended or are
    /// done.
    ExpireJobs { accepted_before_ms: u64 },
}

/// What became of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The job is the system's, now or since it was sent before.
    Accepted,
    /// Its tokens do not fit.
    OverQuota,
    /// Another job was taken under its id.
    Conflict,
    Applied,
    /// There is no such job.
    UnknownJob,
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct BatchState {
    jobs: BTreeMap<String, Job>,
    /// Jobs taken so far; gives their order.
    accepted_jobs: u64,
    /// Tokens of items that wait, by route.
    queued_tokens: BTreeMap<String, u64>,
}

impl BatchState {
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// The jobs that have items to run.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&String, &Job)> {
        self.jobs.iter().filter(|(_, job)| job.is_open())
    }

    pub fn jobs(&self) -> impl Iterator<Item = (&String, &Job)> {
        self.jobs.iter()
    }

    /// Tokens that wait on a route.
    pub fn queued_tokens(&self, route: &str) -> u64 {
        self.queued_tokens.get(route).copied().unwrap_or(0)
    }

    /// Whether a job of this id was taken already, or its tokens fit.
    pub fn fits_quota(&self, new: &NewJob) -> bool {
        let after = self.queued_tokens(&new.route).saturating_add(new.tokens());
        new.max_queued_tokens == 0 || after <= new.max_queued_tokens || self.jobs.contains_key(&new.id)
    }

    fn submit(&mut self, new: NewJob) -> Output {
        if let Some(known) = self.jobs.get(&new.id) {
            return if known.is_resubmission(&new) { Output::Accepted } else { Output::Conflict };
        }
        if !self.fits_quota(&new) {
            return Output::OverQuota;
        }
        let (tokens, waiting) = (new.tokens(), self.queued_tokens(&new.route));
        self.queued_tokens.insert(new.route.clone(), waiting.saturating_add(tokens));
        self.accepted_jobs += 1;
        let id = new.id.clone();
        self.jobs.insert(id, Job::new(new, self.accepted_jobs));
        Output::Accepted
    }

    fn release_tokens(&mut self, route: &str, tokens: u64) {
        if let Some(waiting) = self.queued_tokens.get_mut(route) {
            *waiting = waiting.saturating_sub(tokens);
        }
    }

    fn record(&mut self, id: &str, item: u32, outcome: ItemOutcome) -> Output {
        let Some(job) = self.jobs.get_mut(id) else { return Output::UnknownJob };
        let released = job.record(item, outcome);
        let route = job.route.clone();
        self.release_tokens(&route, released);
        Output::Applied
    }

    fn end(&mut self, id: &str) -> Output {
        let Some(job) = self.jobs.get_mut(id) else { return Output::UnknownJob };
        let released = job.end();
        let route = job.route.clone();
        self.release_tokens(&route, released);
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
            Operation::ExpireJobs { accepted_before_ms: taken_before_ms } => {
                self.jobs.retain(|_, job| job.is_open() || job.accepted_at_ms >= taken_before_ms);
                Output::Applied
            }
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
