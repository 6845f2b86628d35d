//! A client of batch jobs: submits them, repeats submissions, and reads results.

use super::head_follower::HeadFollower;
use crate::cluster::{Client, Cluster, Response};
use marblecroft_batch_state::{Item, ItemOutcome, NewJob};
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use marblecroft_rpc::Bytes;
use std::time::Duration;

/// Tokens that may be queued on the only route.
const QUOTA_TOKENS: u64 = 400;
/// Submissions of one job before its client gives it up.
const MAX_SUBMIT_ATTEMPTS: usize = 40;

/// The task of a batch client.
enum BatchTask {
    Submit { job: String, tokens: Vec<u64>, max_queued_before: u64, attempts: usize },
    Read { job: String, start: usize },
}

/// Submits jobs, sends some of them again, and reads their results.
pub struct BatchClient {
    jobs: u64,
    task: Option<BatchTask>,
    head_follower: HeadFollower,
    /// Upper bound of the time between two tasks, in milliseconds.
    max_think_time_ms: u64,
}

impl BatchClient {
    /// Returns a client that thinks for `max_think_time_ms` at most between two tasks.
    pub fn new(max_think_time_ms: u64) -> BatchClient {
        BatchClient { jobs: 0, task: None, head_follower: HeadFollower::default(), max_think_time_ms }
    }

    fn choose_task(&mut self, cluster: &mut Cluster) -> BatchTask {
        let accepted = cluster.checker.jobs.accepted();
        if !accepted.is_empty() && cluster.rng.u32(0..3) > 0 {
            let (job, results_read) = accepted[cluster.rng.usize(0..accepted.len())].clone();
            let start = cluster.rng.usize(0..=results_read);
            return BatchTask::Read { job, start };
        }
        self.jobs += 1;
        let job = format!("job-{}", self.jobs);
        let items = cluster.rng.usize(1..5);
        let tokens: Vec<u64> = (0..items).map(|_| cluster.rng.u64(10..60)).collect();
        let max_queued_before = cluster.checker.jobs.on_sent(&job, &tokens);
        BatchTask::Submit { job, tokens, max_queued_before, attempts: 0 }
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
        if call != self.head_follower.call {
            return;
        }
        let had_answer = response.is_some();
        let reply = self.head_follower.handle_response(cluster, response);
        match self.task.take() {
            Some(BatchTask::Submit { job, tokens, max_queued_before, attempts }) => {
                let is_final = handle_submit_reply(cluster, &job, reply, max_queued_before, had_answer);
                if !is_final && attempts < MAX_SUBMIT_ATTEMPTS {
                    let attempts = attempts + 1;
                    self.task = Some(BatchTask::Submit { job, tokens, max_queued_before, attempts });
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
        let think_time = Duration::from_millis(cluster.rng.u64(20..20 + self.max_think_time_ms));
        cluster.wake_client(number, think_time);
    }
}

/// Handles the reply to a submission, and returns whether it is final.
fn handle_submit_reply(
    cluster: &mut Cluster,
    job: &str,
    reply: Option<StoreReply>,
    max_queued_before: u64,
    had_answer: bool,
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
            cluster.checker.report(format!("job {job} is taken for another one"));
            true
        }
        Some(StoreReply::OutcomeUnknown) => {
            cluster.checker.jobs.on_outcome_unknown(job);
            false
        }
        _ => {
            if !had_answer {
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
