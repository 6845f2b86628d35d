//! A client that submits batch jobs, retries submissions, and reads results.

use super::head_follower::HeadFollower;
use crate::cluster::{Client, Cluster, Response};
use marblecroft_batch_state::{Item, ItemOutcome, NewJob};
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use marblecroft_rpc::Bytes;
use std::time::Duration;

/// Quota of queued tokens on the only route.
const QUOTA_TOKENS: u64 = 400;
/// Number of retries after which the client abandons the submission of a job.
const MAX_SUBMIT_RETRIES: usize = 40;

/// The task of a batch client.
enum BatchTask {
    Submit { job: String, tokens: Vec<u64>, max_queued_before: u64, retries: usize },
    Read { job: String, start: usize },
}

/// Submits jobs, retries submissions without a final reply, and reads the results of accepted jobs.
pub struct BatchClient {
    /// Number of jobs created so far.
    job_count: u64,
    task: Option<BatchTask>,
    head_follower: HeadFollower,
    /// Upper bound of the random part of the pause after a reply, in milliseconds.
    think_time_spread_ms: u64,
}

impl BatchClient {
    /// Returns a client that pauses after each reply for 20 ms plus a random time below
    /// `think_time_spread_ms`.
    pub fn new(think_time_spread_ms: u64) -> BatchClient {
        BatchClient { job_count: 0, task: None, head_follower: HeadFollower::default(), think_time_spread_ms }
    }

    fn choose_task(&mut self, cluster: &mut Cluster) -> BatchTask {
        let accepted = cluster.checker.jobs.accepted();
        if !accepted.is_empty() && cluster.rng.u32(0..3) > 0 {
            let (job, results_read) = accepted[cluster.rng.usize(0..accepted.len())].clone();
            let start = cluster.rng.usize(0..=results_read);
            return BatchTask::Read { job, start };
        }
        self.job_count += 1;
        let job = format!("job-{}", self.job_count);
        let items = cluster.rng.usize(1..5);
        let tokens: Vec<u64> = (0..items).map(|_| cluster.rng.u64(10..60)).collect();
        let max_queued_before = cluster.checker.jobs.on_sent(&job, &tokens);
        BatchTask::Submit { job, tokens, max_queued_before, retries: 0 }
    }
}

impl Client for BatchClient {
    fn wake(&mut self, cluster: &mut Cluster, number: usize) {
        if self.task.is_none() {
            self.task = Some(self.choose_task(cluster));
        }
        let request = match &self.task {
            Some(BatchTask::Submit { job, tokens, .. }) => StoreRequest::SubmitJob(new_job(job, tokens)),
            Some(BatchTask::Read { job, start }) => {
                StoreRequest::ReadResults { job: job.clone(), start: *start as u64, wait_ms: 0 }
            }
            None => return,
        };
        self.head_follower.send(cluster, number, request);
    }

    fn on_reply(&mut self, cluster: &mut Cluster, number: usize, call: u64, response: Option<Response>) {
        if call != self.head_follower.last_call {
            return;
        }
        let had_response = response.is_some();
        let reply = self.head_follower.handle_response(cluster, response);
        match self.task.take() {
            Some(BatchTask::Submit { job, tokens, max_queued_before, retries }) => {
                let is_final = handle_submit_reply(cluster, &job, reply, max_queued_before, had_response);
                if !is_final && retries < MAX_SUBMIT_RETRIES {
                    let retries = retries + 1;
                    self.task = Some(BatchTask::Submit { job, tokens, max_queued_before, retries });
                }
            }
            Some(BatchTask::Read { job, start }) => match reply {
                Some(StoreReply::Results(page)) => {
                    let results: Vec<(String, String)> = page
                        .results
                        .into_iter()
                        .map(|result| (result.id, outcome_text(result.outcome)))
                        .collect();
                    cluster.checker.jobs.on_results(&job, start, &results);
                }
                Some(StoreReply::NotFound) => cluster.checker.jobs.on_not_found(&job),
                _ => {}
            },
            None => {}
        }
        let think_time = Duration::from_millis(cluster.rng.u64(20..20 + self.think_time_spread_ms));
        cluster.wake_client(number, think_time);
    }
}

/// Handles the reply to a submission, and returns whether it is final.
fn handle_submit_reply(
    cluster: &mut Cluster,
    job: &str,
    reply: Option<StoreReply>,
    max_queued_before: u64,
    had_response: bool,
) -> bool {
    match reply {
        Some(StoreReply::Accepted) => {
            cluster.checker.jobs.on_accepted(job, QUOTA_TOKENS);
            true
        }
        Some(StoreReply::OverQuota) => {
            cluster.checker.jobs.on_rejected(job, max_queued_before, QUOTA_TOKENS);
            true
        }
        Some(StoreReply::Conflict) => {
            cluster.checker.report(format!("job {job} is rejected as a conflict with another job"));
            true
        }
        Some(StoreReply::OutcomeUnknown) => {
            cluster.checker.jobs.on_outcome_unknown(job);
            false
        }
        _ => {
            if !had_response {
                cluster.checker.jobs.on_outcome_unknown(job);
            }
            false
        }
    }
}

fn new_job(id: &str, tokens: &[u64]) -> NewJob {
    let item = |(index, tokens): (usize, &u64)| Item {
        id: format!("{id}-{index}"),
        path: "/p/".to_owned(),
        headers: vec![("X-Model-Name".to_owned(), "m".to_owned())],
        body: Bytes(vec![1, 2, 3]),
        tokens: *tokens,
    };
    NewJob {
        id: id.to_owned(),
        route: "r".to_owned(),
        host: "x.example".to_owned(),
        items: tokens.iter().enumerate().map(item).collect(),
        max_queued_tokens: QUOTA_TOKENS,
        accepted_at_ms: 0,
        due_after_ms: 5000,
    }
}

fn outcome_text(outcome: ItemOutcome) -> String {
    match outcome {
        ItemOutcome::Completed(text) => text,
        ItemOutcome::DeadLettered => "dead".to_owned(),
    }
}
