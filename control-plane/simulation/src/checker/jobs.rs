//! Checks batch jobs: the quota of queued tokens, final answers, and results that stay as they were read.

use super::findings::Findings;
use std::collections::{BTreeMap, BTreeSet};

/// A batch job as its client sees it.
#[derive(Clone, Debug, Default)]
struct Job {
    tokens: Vec<u64>,
    accepted: bool,
    /// Whether an attempt had no final answer.
    outcome_unknown: bool,
    rejected: bool,
    /// Indices of the items that a gateway has run.
    finished: BTreeSet<usize>,
    /// Indices of the items whose outcomes the stores have acknowledged.
    acknowledged: BTreeSet<usize>,
    /// By item id, the outcomes of its runs.
    texts: BTreeMap<String, BTreeSet<String>>,
    /// The results that were read, in their order.
    results: Vec<(String, String)>,
}

/// Which bound of a quantity that clients know only in part.
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
    /// Returns what this checker has found.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }

    /// Returns a bound of the queued tokens, as far as clients can tell.
    fn queued_tokens(&self, bound: Bound) -> u64 {
        let may_be_queued = |job: &&Job| job.accepted || (bound == Bound::Upper && job.outcome_unknown);
        let tokens = |job: &Job| {
            let finished = if bound == Bound::Upper { &job.acknowledged } else { &job.finished };
            let unfinished = job.tokens.iter().enumerate().filter(|(item, _)| !finished.contains(item));
            unfinished.map(|(_, tokens)| tokens).sum::<u64>()
        };
        self.jobs.values().filter(may_be_queued).map(tokens).sum()
    }

    /// Records that a job is sent; returns the upper bound of the tokens that are queued beside it now.
    pub fn on_sent(&mut self, job: &str, tokens: &[u64]) -> u64 {
        let known = self.jobs.entry(job.to_owned()).or_default();
        known.tokens = tokens.to_vec();
        let outcome_unknown = std::mem::replace(&mut known.outcome_unknown, false);
        let max_queued = self.queued_tokens(Bound::Upper);
        if let Some(known) = self.jobs.get_mut(job) {
            known.outcome_unknown = outcome_unknown;
        }
        max_queued
    }

    /// Handles the acceptance of a job under a quota of queued tokens.
    pub fn on_accepted(&mut self, job: &str, quota: u64) {
        self.findings.count("jobs accepted");
        if let Some(known) = self.jobs.get_mut(job) {
            known.accepted = true;
        }
        let queued = self.queued_tokens(Bound::Lower);
        if queued > quota {
            self.findings.report(format!("{queued} tokens wait at the acceptance of {job}, {quota} may"));
        }
    }

    /// Handles a rejection for the quota; `max_queued_before` is what [`on_sent`](Self::on_sent) returned.
    pub fn on_rejected(&mut self, job: &str, max_queued_before: u64, quota: u64) {
        self.findings.count("jobs refused");
        let Some(known) = self.jobs.get_mut(job) else { return };
        let tokens: u64 = known.tokens.iter().sum();
        let (accepted, outcome_unknown) = (known.accepted, known.outcome_unknown);
        known.rejected = !outcome_unknown;
        if accepted {
            self.findings.report(format!("job {job} was accepted, and is rejected"));
        }
        if !outcome_unknown && max_queued_before + tokens <= quota {
            self.findings
                .report(format!("job {job} of {tokens} is rejected beside {max_queued_before} of {quota}"));
        }
    }

    /// Records that an attempt to submit a job had no final answer.
    pub fn on_outcome_unknown(&mut self, job: &str) {
        if let Some(known) = self.jobs.get_mut(job) {
            known.outcome_unknown = true;
        }
    }

    /// Records that a gateway ran a granted item, with `text` as its outcome.
    pub fn on_item_run(&mut self, job: &str, item: usize, id: &str, text: &str) {
        self.findings.count("items run");
        let Some(known) = self.jobs.get_mut(job) else {
            self.findings.report(format!("an item of {job}, which nobody has sent"));
            return;
        };
        known.finished.insert(item);
        known.texts.entry(id.to_owned()).or_default().insert(text.to_owned());
        if known.rejected && !known.accepted {
            self.findings.report(format!("an item of {job} runs, which was rejected"));
        }
    }

    /// Records that the stores have acknowledged an outcome.
    pub fn on_item_acknowledged(&mut self, job: &str, item: usize) {
        if let Some(known) = self.jobs.get_mut(job) {
            known.acknowledged.insert(item);
        }
    }

    /// Handles a page of results, which begins with result number `start`.
    pub fn on_results(&mut self, job: &str, start: usize, results: &[(String, String)]) {
        self.findings.count("results read");
        let Some(known) = self.jobs.get_mut(job) else { return };
        let mut violation = None;
        for (offset, result) in results.iter().enumerate() {
            match known.results.get(start + offset) {
                Some(before) if before != result => violation = Some(format!("{before:?} became {result:?}")),
                Some(_) => {}
                None if start + offset == known.results.len() => {
                    let is_duplicate = known.results.iter().any(|listed| listed.0 == result.0);
                    let is_outcome_of_run =
                        known.texts.get(&result.0).is_some_and(|texts| texts.contains(&result.1));
                    if is_duplicate || !is_outcome_of_run {
                        violation = Some(format!("{result:?} is listed twice, or is of no run"));
                    }
                    known.results.push(result.clone());
                }
                None => {}
            }
        }
        if let Some(violation) = violation {
            self.findings.report(format!("job {job}: {violation}"));
        }
    }

    /// Handles the answer that a job is not known.
    pub fn on_not_found(&mut self, job: &str) {
        if self.jobs.get(job).is_some_and(|known| known.accepted) {
            self.findings.report(format!("job {job} was accepted, and is not found"));
        }
    }

    /// Returns the accepted jobs, each with the number of its results that were read.
    pub fn accepted(&self) -> Vec<(String, usize)> {
        let accepted = self.jobs.iter().filter(|(_, job)| job.accepted);
        accepted.map(|(id, job)| (id.clone(), job.results.len())).collect()
    }
}
