//! The message, the time window and the result of an attempt.

use crate::body::request_body::{Delivery, RequestBody};
use crate::body::response_body::ResponseBody;
use crate::request_budget::RequestBudget;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use marblecroft_quota_gateway_core::{LoadReport, Status, Time};
use std::cell::Cell;
use std::rc::Rc;

/// The header with the time for which the sender waits for the response, in seconds.
pub const EXPIRES_IN: HeaderName = HeaderName::from_static("x-expires-in");

/// The parts of a request that are the same in every attempt.
pub struct UpstreamRequest {
    /// The client's method.
    pub method: Method,
    /// The client's path and query.
    pub uri: Uri,
    /// The client's headers that are forwarded to servers.
    pub headers: HeaderMap,
    /// The client's body.
    pub body: RequestBody,
    /// The firm whose shard the request writes, if it is a write.
    pub written_firm: Option<u64>,
    /// The time budget of the request.
    pub budget: Rc<RequestBudget>,
    /// Set with the final response. After that no attempt is written, including attempts that are still
    /// connecting and cannot be cancelled.
    pub is_finished: Cell<bool>,
}

impl UpstreamRequest {
    /// The trace id that the client set. Every validated request has one.
    pub fn trace(&self) -> &str {
        self.headers.get("x-trace-id").and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// Returns how much of the body has been delivered. A buffered body always counts as complete.
    pub fn delivery(&self) -> Delivery {
        self.body.as_streamed().map_or(Delivery::Complete, |body| body.delivery())
    }
}

/// The time window of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptWindow {
    /// The instant at which the attempt is aborted by dropping its task.
    pub ends_at: Option<Time>,
    /// The attempt is not written at or after this instant.
    pub begin_by: Option<Time>,
}

/// A server's 200 response: complete, or streamed and in progress.
pub struct ServedResponse {
    /// The server's body.
    pub body: ResponseBody,
    /// The server's content type, if it sent one.
    pub content_type: Option<HeaderValue>,
}

/// The result of an attempt.
pub struct AttemptEnd {
    /// The status that is passed to the core.
    pub status: Status,
    /// The customer's metered use of its quota, as a fraction, if the server reports one.
    pub metered_use: Option<f64>,
    /// The server's report of its own load.
    pub load_report: LoadReport,
    /// The response, with [`Status::Ok`] only, unless it was streamed.
    pub response: Option<ServedResponse>,
    /// The cell of the written shard, if the attempt was made at another one.
    pub moved_to_cell: Option<u32>,
}

impl From<Status> for AttemptEnd {
    fn from(status: Status) -> AttemptEnd {
        AttemptEnd {
            status,
            metered_use: None,
            load_report: LoadReport::default(),
            response: None,
            moved_to_cell: None,
        }
    }
}
