//! The batch interface: jobs are submitted, read and ended through any gateway; the stores keep them.

// What `nanoserde` derives holds this shape.
#![allow(clippy::question_mark)]

use crate::body::{full, ResponseBody};
use crate::gateway::Gateway;
use crate::server::{local_reply, rejection, BufferedRequest};
use crate::stores::Outcome;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Method, Response, StatusCode};
use marblecroft_batch_state::{Item, ItemOutcome, NewJob};
use marblecroft_configuration::{syntax, Route};
use marblecroft_protocol::store::{ResultsPage, StoreReply, StoreRequest};
use marblecroft_rpc::Bytes;
use nanoserde::{DeJson, SerJson};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::spawn_blocking;
use tracing::info;

/// The most items of one job.
const MAX_ITEMS: usize = 200;
/// Time in which a job is taken; its client waits longer.
const SUBMIT_TIME: Duration = Duration::from_millis(3000);
const READ_TIME: Duration = Duration::from_millis(2200);
/// The longest that a reading is held.
const MAX_WAIT: u32 = 1000;
/// Told to clients whose job does not fit, in seconds.
const RETRY_QUOTA: &str = "0.7";
const RETRY_SOON: &str = "0.3";

const BATCH_JOBS_PREFIX: &str = "/-/lots/";
const ITEMS: &str = "/-/items/";

#[derive(DeJson)]
struct JobDocument {
    requests: Vec<ItemDocument>,
}

#[derive(DeJson)]
struct ItemDocument {
    id: String,
    path: String,
    headers: Option<HashMap<String, String>>,
    body: Option<String>,
    tokens: f64,
}

#[derive(SerJson)]
struct PageDocument {
    total: u64,
    next_page_token: u64,
    results: Vec<ResultDocument>,
}

#[derive(SerJson)]
struct ResultDocument {
    id: String,
    state: String,
    text: String,
}

/// A call on a job that was submitted.
pub enum Call {
    Read {
        job: String,
        start: u64,
        wait_ms: u32,
    },
    Body {
        job: String,
        item: String,
    },
    End {
        job: String,
    },
    /// None that there is.
    Unknown,
}

/// A parameter of a query.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.split_once('=').filter(|pair| pair.0 == name)).map(|pair| pair.1)
}

impl Call {
    /// The call that a request is; `None` where it is a client's request for a route.
    pub fn of(request: &BufferedRequest) -> Option<Call> {
        let path = request.uri.path();
        let query = request.uri.query().unwrap_or_default();
        if let Some(job) = path.strip_prefix(BATCH_JOBS_PREFIX) {
            let job = job.to_owned();
            return Some(match request.method {
                Method::GET => Call::Read {
                    job,
                    start: parameter(query, "start_after").and_then(|n| n.parse().ok()).unwrap_or(0),
                    wait_ms: request.header("x-wait-ms").and_then(|ms| ms.trim().parse().ok()).unwrap_or(0),
                },
                Method::DELETE => Call::End { job },
                _ => Call::Unknown,
            });
        }
        let job = path.strip_prefix(ITEMS)?.to_owned();
        Some(match (&request.method, parameter(query, "id")) {
            (&Method::GET, Some(item)) => Call::Body { job, item: item.to_owned() },
            _ => Call::Unknown,
        })
    }
}

fn json(body: String) -> Response<ResponseBody> {
    let mut response = Response::new(full(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

async fn call(gateway: &Gateway, request: StoreRequest, within: Duration) -> Outcome {
    let stores = gateway.stores.clone();
    spawn_blocking(move || stores.call(&request, within)).await.unwrap_or(Outcome::MayHaveExecuted)
}

/// The items of a job, or what is wrong with it.
fn read_items(body: &[u8]) -> Result<Vec<Item>, String> {
    let text = std::str::from_utf8(body).map_err(|e| e.to_string())?;
    if !syntax::is_complete_document(text) {
        return Err("not one whole JSON value".to_owned());
    }
    let document: JobDocument = DeJson::deserialize_json(text).map_err(|e| e.to_string())?;
    if document.requests.is_empty() || document.requests.len() > MAX_ITEMS {
        return Err(format!("requests: expected 1 to {MAX_ITEMS} items"));
    }
    let mut ids = HashSet::new();
    let mut items = Vec::new();
    for item in document.requests {
        if !ids.insert(item.id.clone()) {
            return Err(format!("item {} stands twice", item.id));
        }
        let body =
            STANDARD.decode(item.body.unwrap_or_default()).map_err(|e| format!("item {}: {e}", item.id))?;
        items.push(Item {
            id: item.id,
            path: item.path,
            headers: item.headers.unwrap_or_default().into_iter().collect(),
            body: Bytes(body),
            // The conversion saturates.
            tokens: item.tokens as u64,
        });
    }
    Ok(items)
}

/// Tokens that may wait on a route. The stores count an item until its result is recorded, which is later than its server
/// finishes it, so that they may use all of the overage.
fn max_queued_tokens(configured: u64, overage: f64) -> u64 {
    // The conversion saturates.
    (configured as f64 * (1.0 + overage)).floor() as u64
}

/// Takes a job.
pub async fn submit(
    gateway: &Rc<Gateway>,
    route: &Arc<Route>,
    request: BufferedRequest,
) -> Response<ResponseBody> {
    if request.method != Method::POST {
        return local_reply(StatusCode::METHOD_NOT_ALLOWED, "a job is submitted with POST");
    }
    let Some(id) = request.header("x-request-id").map(str::to_owned) else {
        return local_reply(StatusCode::BAD_REQUEST, "X-Request-Id is missing");
    };
    let items = match read_items(&request.body) {
        Ok(items) => items,
        Err(e) => return local_reply(StatusCode::BAD_REQUEST, &e),
    };
    let job = NewJob {
        id,
        route: route.name.clone(),
        host: request.host().to_owned(),
        items,
        max_queued_tokens: max_queued_tokens(route.max_queued_tokens, gateway.settings.bounds.quota_overage),
        accepted_at_ms: 0,
        due_after_ms: u64::try_from(route.completion_target.as_millis()).unwrap_or(u64::MAX),
    };
    let (begun, trace) = (Instant::now(), job.id.clone());
    let outcome = call(gateway, StoreRequest::SubmitJob(job), SUBMIT_TIME).await;
    if !matches!(&outcome, Outcome::Reply(reply) if **reply == StoreReply::Accepted) {
        info!(id = %trace, "job {trace} was not taken after {} ms: {outcome:?}", begun.elapsed().as_millis());
    }
    match outcome {
        Outcome::Reply(reply) => match *reply {
            StoreReply::Accepted => local_reply(StatusCode::ACCEPTED, "taken"),
            StoreReply::OverQuota => {
                rejection(StatusCode::TOO_MANY_REQUESTS, "too many tokens wait", RETRY_QUOTA)
            }
            StoreReply::Conflict => local_reply(StatusCode::CONFLICT, "another job was taken under this id"),
            _ => local_reply(StatusCode::GATEWAY_TIMEOUT, "the outcome is not known"),
        },
        Outcome::NotExecuted => {
            rejection(StatusCode::SERVICE_UNAVAILABLE, "no store takes the job", RETRY_SOON)
        }
        Outcome::MayHaveExecuted => local_reply(StatusCode::GATEWAY_TIMEOUT, "the outcome is not known"),
    }
}

/// Answers a call on a job.
pub async fn answer(gateway: &Rc<Gateway>, request: Call) -> Response<ResponseBody> {
    let (request, start) = match request {
        Call::Read { job, start, wait_ms } => {
            (StoreRequest::ReadResults { job, start, wait_ms: wait_ms.min(MAX_WAIT) }, start)
        }
        Call::Body { job, item } => (StoreRequest::ReadItemBody { job, item }, 0),
        Call::End { job } => (StoreRequest::EndJob { job }, 0),
        Call::Unknown => return local_reply(StatusCode::NOT_FOUND, "no such call"),
    };
    let unsure =
        || rejection(StatusCode::SERVICE_UNAVAILABLE, "the stores cannot say at the moment", RETRY_SOON);
    match call(gateway, request, READ_TIME).await {
        Outcome::Reply(reply) => match *reply {
            StoreReply::Results(page) => json(page_json(page, start)),
            StoreReply::Body(body) => Response::new(full(body)),
            StoreReply::Ended => local_reply(StatusCode::OK, "ended"),
            StoreReply::NotFound => local_reply(StatusCode::NOT_FOUND, "there is none"),
            _ => unsure(),
        },
        Outcome::NotExecuted | Outcome::MayHaveExecuted => unsure(),
    }
}

fn page_json(page: ResultsPage, start: u64) -> String {
    let results: Vec<ResultDocument> = page
        .results
        .into_iter()
        .map(|result| {
            let (state, text) = match result.outcome {
                ItemOutcome::Completed(text) => ("completed", text),
                ItemOutcome::DeadLettered => ("dead_lettered", String::new()),
            };
            ResultDocument { id: result.id, state: state.to_owned(), text }
        })
        .collect();
    let next_page_token = start + results.len() as u64;
    PageDocument { total: page.total, next_page_token, results }.serialize_json()
}
