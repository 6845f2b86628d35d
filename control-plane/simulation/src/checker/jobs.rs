//! Checks batch jobs: the quota of queued tokens is not exceeded, replies are final, and results that were
//! read do not change.

use super::findings::Findings;
use std::collections::{BTreeMap, BTreeSet};

/// The history of a batch job as its client and the gateways observe it.
#[derive(Clone, Debug, Default)]
struct Job {
    tokens: Vec<u64>,
    accepted: bool,
    /// Whether the outcome of an attempt to submit it is unknown.
    outcome_unknown: bool,
    rejected: bool,
    /// Indices of the items that a gateway has run.
    finished: BTreeSet<usize>,
    /// Indices of the items whose outcomes the stores have acknowledged.
    acknowledged: BTreeSet<usize>,
    /// Outcomes of the runs of each item, by item id.
    run_outcomes: BTreeMap<String, BTreeSet<String>>,
    /// Results that were read, in order: item id and outcome.
    results: Vec<(String, String)>,
}

/// A bound of a quantity that the history determines only in part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bound {
    Lower,
    Upper,
}

/// The history of the batch jobs.
#[derive(Default)]
pub struct JobChecker {
    findings: Findings,
    jobs: BTreeMap<String, Job>,
}

impl JobChecker {
    /// Returns the findings of this checker.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }

    /// Returns a bound of the number of queued tokens. The upper bound includes jobs whose submission has an
    /// unknown outcome, and items until the stores have acknowledged their outcomes.
    fn queued_tokens(&self, bound: Bound) -> u64 {
        let may_be_queued = |job: &&Job| job.accepted || (bound == Bound::Upper && job.outcome_unknown);
        let tokens = |job: &Job| {
            let finished = if bound == Bound::Upper { &job.acknowledged } else { &job.finished };
            let unfinished = job.tokens.iter().enumerate().filter(|(item, _)| !finished.contains(item));
            unfinished.map(|(_, tokens)| tokens).sum::<u64>()
        };
        self.jobs.values().filter(may_be_queued).map(tokens).sum()
    }

    /// Records that a job is submitted; returns the upper bound of the tokens of other jobs that are queued
    /// now.
    pub fn on_sent(&mut self, job: &str, tokens: &[u64]) -> u64 {
        let record = self.jobs.entry(job.to_owned()).or_default();
        record.tokens = tokens.to_vec();
        let outcome_unknown = std::mem::replace(&mut record.outcome_unknown, false);
        let max_queued = self.queued_tokens(Bound::Upper);
        if let Some(record) = self.jobs.get_mut(job) {
            record.outcome_unknown = outcome_unknown;
        }
        max_queued
    }

    /// Handles the acceptance of a job under a quota of queued tokens.
    pub fn on_accepted(&mut self, job: &str, quota: u64) {
        self.findings.count("jobs accepted");
        if let Some(record) = self.jobs.get_mut(job) {
            record.accepted = true;
        }
        let queued = self.queued_tokens(Bound::Lower);
        if queued > quota {
            self.findings.report(format!(
                "{queued} tokens are queued after job {job} is accepted, the quota is {quota}"
            ));
        }
    }

    /// Handles a rejection because of the quota; `max_queued_before` is the result of
    /// [`on_sent`](Self::on_sent).
    pub fn on_rejected(&mut self, job: &str, max_queued_before: u64, quota: u64) {
        self.findings.count("jobs refused");
        let Some(record) = self.jobs.get_mut(job) else { return };
        let tokens: u64 = record.tokens.iter().sum();
        let (accepted, outcome_unknown) = (record.accepted, record.outcome_unknown);
        record.rejected = !outcome_unknown;
        if accepted {
            self.findings.report(format!("job {job} is rejected after it was accepted"));
        }
        if !outcome_unknown && max_queued_before + tokens <= quota {
            self.findings.report(format!(
                "job {job} of {tokens} tokens is rejected with {max_queued_before} of {quota} queued"
            ));
        }
    }

    /// Records that the outcome of an attempt to submit a job is unknown.
    pub fn on_outcome_unknown(&mut self, job: &str) {
        if let Some(record) = self.jobs.get_mut(job) {
            record.outcome_unknown = true;
        }
    }

    /// Records that a gateway ran a granted item.
    pub fn on_item_run(&mut self, job: &str, item: usize, id: &str, outcome: &str) {
        self.findings.count("items run");
        let Some(record) = self.jobs.get_mut(job) else {
            self.findings.report(format!("an item runs of job {job}, which was never submitted"));
            return;
        };
        record.finished.insert(item);
        record.run_outcomes.entry(id.to_owned()).or_default().insert(outcome.to_owned());
        if record.rejected && !record.accepted {
            self.findings.report(format!("an item runs of job {job}, which was rejected"));
        }
    }

    /// Records that the stores have acknowledged the outcome of an item.
    pub fn on_item_acknowledged(&mut self, job: &str, item: usize) {
        if let Some(record) = self.jobs.get_mut(job) {
            record.acknowledged.insert(item);
        }
    }

    /// Handles a page of results that starts at result number `start`.
    pub fn on_results(&mut self, job: &str, start: usize, results: &[(String, String)]) {
        self.findings.count("results read");
        let Some(record) = self.jobs.get_mut(job) else { return };
        let mut violation = None;
        for (offset, result) in results.iter().enumerate() {
            match record.results.get(start + offset) {
                Some(before) if before != result => {
                    violation = Some(format!("{before:?} changed to {result:?}"))
                }
                Some(_) => {}
                None if start + offset == record.results.len() => {
                    let is_duplicate = record.results.iter().any(|listed| listed.0 == result.0);
                    let is_outcome_of_run = record
                        .run_outcomes
                        .get(&result.0)
                        .is_some_and(|outcomes| outcomes.contains(&result.1));
                    if is_duplicate || !is_outcome_of_run {
                        violation =
                            Some(format!("{result:?} is listed twice, or is not the outcome of any run"));
                    }
                    record.results.push(result.clone());
                }
                None => {}
            }
        }
        if let Some(violation) = violation {
            self.findings.report(format!("job {job}: {violation}"));
        }
    }

    /// Handles the reply that a job does not exist.
    pub fn on_not_found(&mut self, job: &str) {
        if self.jobs.get(job).is_some_and(|record| record.accepted) {
            self.findings.report(format!("job {job} is not found after it was accepted"));
        }
    }

    /// Returns the accepted jobs, each with the number of its results that were read so far.
    pub fn accepted(&self) -> Vec<(String, usize)> {
        let accepted = self.jobs.iter().filter(|(_, job)| job.accepted);
        accepted.map(|(id, job)| (id.clone(), job.results.len())).collect()
    }
}
