//! Parsing of API calls on submitted jobs from path and query.

use crate::request::BufferedRequest;
use hyper::Method;

const JOBS_PATH_PREFIX: &str = "/-/lots/";
const ITEMS_PATH_PREFIX: &str = "/-/items/";

/// A call on a job.
#[derive(Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Reads a page of results.
    ReadResults {
        /// Id of the job.
        job: String,
        /// Number of results to skip.
        start: u64,
        /// Requested time to wait for a result if there is none yet.
        wait_ms: u32,
    },
    /// Reads the body with which an item was submitted.
    ReadItemBody {
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// Ends the job.
    End {
        /// Id of the job.
        job: String,
    },
    /// The path belongs to the batch API, but the method or the query is not supported.
    Unknown,
}

impl JobCall {
    /// Returns the call that the request makes, or `None` if the path does not belong to the batch
    /// API and the request has to be routed.
    pub fn from_request(request: &BufferedRequest) -> Option<JobCall> {
        let path = request.uri.path();
        let query = request.uri.query().unwrap_or_default();
        if let Some(job) = path.strip_prefix(JOBS_PATH_PREFIX) {
            let job = job.to_owned();
            return Some(match request.method {
                Method::GET => JobCall::ReadResults {
                    job,
                    start: query_parameter(query, "start_after").and_then(|n| n.parse().ok()).unwrap_or(0),
                    wait_ms: request.header("x-wait-ms").and_then(|ms| ms.trim().parse().ok()).unwrap_or(0),
                },
                Method::DELETE => JobCall::End { job },
                _ => JobCall::Unknown,
            });
        }
        let job = path.strip_prefix(ITEMS_PATH_PREFIX)?.to_owned();
        Some(match (&request.method, query_parameter(query, "id")) {
            (&Method::GET, Some(item)) => JobCall::ReadItemBody { job, item: item.to_owned() },
            _ => JobCall::Unknown,
        })
    }
}

/// Returns the first value of a query parameter without percent-decoding, which ids do not need.
fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
}

#[cfg(test)]
mod tests;
