//! Batch API: clients submit jobs, read their results and end them through any gateway. The stores
//! hold the jobs; a gateway keeps no state between two calls.
//!
//! `call` parses API calls and `document` reads and writes JSON. This module sends the request to
//! the stores and maps their reply to an HTTP status. For a submission, a status that promises that
//! nothing was executed (429, 503) is sent only if this is certain. If the outcome is unknown, the
//! status is 504, and the client retries the submission with the same id. Calls on a submitted job
//! get 503 in both cases.

mod call;
mod document;

pub use call::JobCall;

use crate::body::{full, ResponseBody};
use crate::gateway::Gateway;
use crate::headers::REQUEST_ID;
use crate::reply::{json, local_reply, rejection};
use crate::request::BufferedRequest;
use crate::stores::CallOutcome;
use document::{page_json, parse_items};
use hyper::{Method, Response, StatusCode};
use marblecroft_batch_state::{Item, NewJob};
use marblecroft_configuration::Route;
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::spawn_blocking;
use tracing::info;

/// Time limit for the stores to accept a job. Clients wait longer than this.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time limit for all other calls.
const READ_TIMEOUT: Duration = Duration::from_millis(2200);
/// Maximum time for which the stores defer a read until results are available, in milliseconds.
const MAX_WAIT_MS: u32 = 1000;
/// `Retry-After` for clients whose job exceeds the quota, in seconds.
const RETRY_AFTER_OVER_QUOTA: &str = "0.7";
/// `Retry-After` if the stores cannot be reached, in seconds.
const RETRY_AFTER_UNAVAILABLE: &str = "0.3";

/// Calls the stores on a thread that may block.
async fn call_stores(gateway: &Gateway, request: StoreRequest, time_limit: Duration) -> CallOutcome {
    let stores = gateway.stores.clone();
    let call = spawn_blocking(move || stores.call(&request, time_limit));
    call.await.unwrap_or(CallOutcome::MayHaveExecuted)
}

/// Returns the maximum number of tokens that may be queued on a route. It includes the full overage,
/// because the stores count an item until its result is recorded, some time after the server has
/// finished it.
fn max_queued_tokens(configured: u64, overage: f64) -> u64 {
    // The conversion saturates.
    (configured as f64 * (1.0 + overage)).floor() as u64
}

/// Submits a job to the stores.
pub async fn submit(
    gateway: &Rc<Gateway>,
    route: &Arc<Route>,
    request: BufferedRequest,
) -> Response<ResponseBody> {
    if request.method != Method::POST {
        return local_reply(StatusCode::METHOD_NOT_ALLOWED, "a job is submitted with POST");
    }
    let Some(id) = request.header(REQUEST_ID.as_str()).map(str::to_owned) else {
        return local_reply(StatusCode::BAD_REQUEST, "X-Request-Id is missing");
    };
    let items = match parse_items(&request.body) {
        Ok(items) => items,
        Err(e) => return local_reply(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let job = new_job(gateway, route, id.clone(), request.host(), items);
    let started_at = Instant::now();
    let outcome = call_stores(gateway, StoreRequest::SubmitJob(job), SUBMIT_TIMEOUT).await;
    if !matches!(&outcome, CallOutcome::Reply(reply) if **reply == StoreReply::Accepted) {
        let elapsed_ms = started_at.elapsed().as_millis();
        info!(id = %id, elapsed_ms, ?outcome, "job not accepted");
    }
    submission_reply(outcome)
}

fn new_job(gateway: &Gateway, route: &Route, id: String, host: &str, items: Vec<Item>) -> NewJob {
    NewJob {
        id,
        route: route.name.clone(),
        host: host.to_owned(),
        items,
        max_queued_tokens: max_queued_tokens(route.max_queued_tokens, gateway.settings.bounds.quota_overage),
        // Set by the head of the stores' chain.
        accepted_at_ms: 0,
        due_after_ms: u64::try_from(route.completion_target.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns the response to a submission.
fn submission_reply(outcome: CallOutcome) -> Response<ResponseBody> {
    let unknown = || local_reply(StatusCode::GATEWAY_TIMEOUT, "the outcome is not known");
    match outcome {
        CallOutcome::Reply(reply) => match *reply {
            StoreReply::Accepted => local_reply(StatusCode::ACCEPTED, "taken"),
            StoreReply::OverQuota => {
                rejection(StatusCode::TOO_MANY_REQUESTS, "too many tokens wait", RETRY_AFTER_OVER_QUOTA)
            }
            StoreReply::Conflict => local_reply(StatusCode::CONFLICT, "another job was taken under this id"),
            _ => unknown(),
        },
        CallOutcome::NotExecuted => {
            rejection(StatusCode::SERVICE_UNAVAILABLE, "no store takes the job", RETRY_AFTER_UNAVAILABLE)
        }
        CallOutcome::MayHaveExecuted => unknown(),
    }
}

/// Handles a call on a job.
pub async fn handle_call(gateway: &Rc<Gateway>, call: JobCall) -> Response<ResponseBody> {
    let (request, start) = match call {
        JobCall::ReadResults { job, start, wait_ms } => {
            (StoreRequest::ReadResults { job, start, wait_ms: wait_ms.min(MAX_WAIT_MS) }, start)
        }
        JobCall::ReadItemBody { job, item } => (StoreRequest::ReadItemBody { job, item }, 0),
        JobCall::End { job } => (StoreRequest::EndJob { job }, 0),
        JobCall::Unknown => return local_reply(StatusCode::NOT_FOUND, "no such call"),
    };
    let unavailable = || {
        let text = "the stores cannot say at the moment";
        rejection(StatusCode::SERVICE_UNAVAILABLE, text, RETRY_AFTER_UNAVAILABLE)
    };
    match call_stores(gateway, request, READ_TIMEOUT).await {
        CallOutcome::Reply(reply) => match *reply {
            StoreReply::Results(page) => json(page_json(page, start)),
            StoreReply::Body(body) => Response::new(full(body)),
            StoreReply::Ended => local_reply(StatusCode::OK, "ended"),
            StoreReply::NotFound => local_reply(StatusCode::NOT_FOUND, "there is none"),
            _ => unavailable(),
        },
        CallOutcome::NotExecuted | CallOutcome::MayHaveExecuted => unavailable(),
    }
}

#[cfg(test)]
mod tests;
